Feature: The embeddable parts work without the daemons

  Scenario: The examples of the page hold
    When the examples of docs/EMBEDDING.md are run
    Then no example failed and at least 20 were run

  Scenario: Each part is imported without sockets
    Then importing each part of docs/EMBEDDING.md loads no socket library
