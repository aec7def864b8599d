Feature: Large bodies at the operators' port

  # Guards against a control replica that runs out of memory by calls of operators.
  Scenario: Large calls of operators stay within the memory of a control replica
    Given a platform whose processes have 120 MB of memory and 240 descriptors
    When 12 clients of the operators port of VM 1 send 60 MiB less 1 bytes of bodies of 60 MiB
    Then every process is alive, within its memory and its descriptors
    And an ordinary call at VM 20 is answered
