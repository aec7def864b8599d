Feature: A configuration that a process can't read

  The programs run as real processes on loopback; the platform is simulated.

  # Guards against a configuration that is acknowledged although no process can
  # read it, and that ends every process again after each start (review/7).
  Scenario: A configuration that nests too deeply is refused
    Given a platform with the services "sheets", "orders"
    When version 3 routes "/view/" to "sheets"
    And version 5 is sent with a field that is nested 990 to 970 and 33 levels deep
    Then each of them is refused with 400 and a reason
    When version 6 is patched with a field that is nested 990 to 970 and 33 levels deep
    Then each of them is refused with 400 and a reason
    And the configuration is read back as sent at every replica
    When version 5 is sent with a field that is nested 32 levels deep
    Then it is accepted
    And the configuration is read back as sent at every replica
    And every process of the platform runs

  # Guards against processes that end, and never start again, when the
  # configuration in the data folders was written by another release.
  Scenario: An accepted configuration that can't be read is reported and replaced
    Given a platform with the services "sheets", "orders"
    When version 3 routes "/view/" to "sheets"
    And all replicas are killed and started with a version 4 that can't be read
    Then a request to "/view/1" at daemon 21 is answered by "sheets"
    And within 10 s the log of each daemon has "configuration not used"
    And a read of the configuration is answered 503 with "version 4 can not be read"
    And a patch of version 4 is refused with 400 and "version 4"
    When every process is killed and started again
    Then within 10 s the log of each daemon has "configuration not used"
    And every process of the platform runs
    When version 7 replaces version 4 and routes "/view/" to "orders"
    Then after 2 s a request to "/view/1" at daemon 20 is answered by "orders"
    And the configuration is read back as sent at every replica
    And every process of the platform runs

  # Guards against processes that end when a register holds a value that another
  # release wrote.
  Scenario Outline: A register that can't be read ends no process
    Given a platform with the services "sheets", "orders"
    When version 3 routes "/view/" to "sheets"
    And all replicas are killed and started with a value of "<register>" that can't be read
    Then after 4 s a request to "/view/1" at daemon 21 is answered by "sheets"
    And every process of the platform runs

    Examples:
      | register      |
      | configuration |
      | allowance     |
      | evacuations   |
      | drains        |
