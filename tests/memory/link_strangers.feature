Feature: Strangers at the port for links

  # Guards against a daemon that buffers frames of peers that have proved nothing.
  Scenario: Long frames of strangers stay within the memory of a daemon
    Given a platform whose processes have 120 MB of memory and 240 descriptors
    When 12 strangers at the link port of VM 20 send 16 MiB of frames that they announce longer
    Then every process is alive, within its memory and its descriptors
    And an ordinary call at VM 20 is answered
