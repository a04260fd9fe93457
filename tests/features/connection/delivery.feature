Feature: A connection is judged by what its peer confirms

  Scenario: A connection on which probes stay unconfirmed is silent
    Given a connection with a probe sent at 0.0 s
    Then it is not silent at 0.6 s
    And it is silent at 0.8 s

  Scenario: A receipt ends the wait for all earlier probes
    Given a connection with a probe sent at 0.0 s
    And a probe sent at 1.0 s
    When the last probe is confirmed at 1.2 s
    Then it is not silent at 5.0 s

  Scenario: A receipt from before the reopening says nothing of the new connection
    Given a connection with a probe sent at 0.0 s
    When the connection is reopened at 1.0 s
    And a probe sent at 1.0 s
    And the first probe is confirmed at 1.2 s
    Then it is silent at 4.7 s

  Scenario: A message that is known to have arrived needs no probe
    Given a connection with a probe sent at 0.0 s
    When a message sent at 0.5 s is known at 0.6 s to have arrived
    Then it is not silent at 9.0 s
    And no probe is due at 1.4 s
    And a probe is due at 1.6 s

  Scenario: A message over a former connection says nothing of the new one
    Given a connection with a probe sent at 0.0 s
    When the connection is reopened at 1.0 s
    And a probe sent at 1.0 s
    And a message sent at 0.9 s is known at 1.2 s to have arrived
    Then it is silent at 3.0 s

  Scenario: A slow way is not reopened again and again
    # Reopening at a fixed interval would never outlast the set-up of a
    # connection over a way that takes longer.
    Given a connection over a way on which a receipt takes 3.0 s
    When messages are sent each 0.5 s for 60.0 s
    Then it was reopened at most 3 times

  Scenario: A peer of a version without receipts is reopened seldom
    Given a connection over a way on which a receipt takes 999.0 s
    When messages are sent each 0.5 s for 60.0 s
    Then it was reopened at most 10 times

  Scenario: Two idle peers do not go on confirming each other
    Given two control channels
    When one sends 3 messages, and then both are idle for 1.5 s
    Then at most 4 messages were sent in the idle time

  Scenario: A probe with an unusable address harms nothing
    Given two control channels
    When one receives probes from "", "nowhere" and "127.0.0.1:999999"
    Then it still receives messages

  Scenario: A connection that carries only receipts is reopened when it is silent
    # Receipts carry no probe, so that the other side reopened its working
    # connection for ever.
    Given two control channels behind proxies, of which only one sends messages
    When the other one's connection falls silent
    Then within 6.0 s a receipt arrives again

  Scenario: A process that was held up does not reopen connections that work
    # Receipts that wait in the receive queue were not looked at.
    Given two control channels
    When one sends a message, is held up for 1.2 s and sends another
    Then it has reopened no connection

  Scenario: Probes from unknown addresses do not close connections in use
    Given two control channels
    When one is connected to the other, and receives probes from 5000 addresses
    Then it is still connected to the other

  Scenario: A connection delivers within a lease after a silence of 3.4 s
    # The time between two reopenings doubled beyond the rest of the lease.
    Given a connection over a way on which a receipt takes 0.0 s
    When all connections opened in the first 3.4 s are silent
    Then a probe is confirmed within a VM's lease

  Scenario: A peer that is gone is not dialled for ever
    Given two control channels
    When one sends a message to a peer that is gone, and then nothing for 3.0 s
    Then it has reopened at most 1 connection

  Scenario: Probes and receipts keep their form
    Then a probe is the array "dp", "a:1", "b:2", 3, 4
    And a receipt is the array "dr", "b:2", 3
