Feature: Control connections that fall silent without being closed

  Scenario Outline: A VM keeps its lease when a connection falls silent <way>
    # Each process judged the connection it sends on by what it heard on the
    # other one, so that a connection that was silent one way stayed so.
    Given a platform of one entry and 3 VMs behind proxies, with 6 running tasks
    When the open connections of <count> VMs fall silent <way>
    Then each VM gets a new lease before its last one expires
    And no task was started twice, and none lapsed

    Examples:
      | way                        | count |
      | from the agents            | 1     |
      | from the agents            | 3     |
      | to the agents              | 1     |
      | to the agents              | 3     |
      | one way or the other       | 2     |
      | both ways                  | 3     |

  Scenario: A leader and agents whose messages confirm each other send no probes
    Given a platform of one entry and 3 VMs behind proxies, with 6 running tasks
    When nothing happens for 4 s
    Then at most 3 probes were sent meanwhile
