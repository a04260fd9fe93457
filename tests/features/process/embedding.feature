Feature: The embeddable parts work without the daemons

  Scenario: The examples of the page pass
    When the examples of docs/EMBEDDING.md are run
    Then no example fails and at least 20 are run

  Scenario: Each part is imported without sockets
    Then importing each part of docs/EMBEDDING.md loads no socket library
