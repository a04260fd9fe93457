Feature: Operators see why, and only those who may

  Scenario: A request is explained by its id
    Given the deployment caribfert with 2 VMs and 1 entries
    When a request is sent and the command line explains it
    Then the command ends with 0 and its output has "candidates="

  Scenario: Tokens are taken anew, and a refused one is not logged
    Given a token file with the operator token "first-secret"
    Then the operator token "first-secret" is let in and "other" is not
    When the token file is replaced by one with "second-secret"
    Then the operator token "second-secret" is let in and "first-secret" is not
    When the token file is replaced by one that is damaged
    Then the operator token "second-secret" is let in and "first-secret" is not
    And a caller of one customer may not name another

  Scenario: Certificates are taken anew without a restart
    Given a TLS port with the certificate "one"
    Then a client sees the certificate "one"
    When the certificate is replaced by "two"
    Then a client sees the certificate "two"
