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

  Scenario: Nothing else occupies a proxy's address before the proxy listens
    # Drawn twice, or taken by an outgoing connection: "address already in use".
    Given a platform of one entry and 3 VMs behind proxies, with 6 running tasks
    Then the proxies and what is behind them have addresses of their own
    And none of their ports is one of the ports of outgoing connections

  Scenario Outline: Records are relayed again after a connection fell silent <way>
    # The answering entry did not reopen its connection.
    Given two entries behind proxies that have relayed a record
    When the open connection <way> falls silent
    And records are relayed each 0.2 s for 2.0 s
    Then the next record that is relayed is appended

    Examples:
      | way           |
      | to the peer   |
      | from the peer |

  Scenario: One lost record makes the next one take a new connection
    # A message without a probe did not count as unconfirmed.
    Given two entries behind proxies that have relayed a record
    When the open connection to the peer falls silent
    And one record is relayed at once
    Then the next record that is relayed is appended

  Scenario: VMs keep their leases when the links are silent for 3.4 s
    # Connections opened meanwhile were silent too, and given up after 4 s.
    Given a platform of one entry and 3 VMs behind proxies, with 6 running tasks
    When all links are silent for 3.4 s
    Then each VM gets a new lease before its last one expires
    And no task was started twice, and none lapsed
