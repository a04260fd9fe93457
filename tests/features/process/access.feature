Feature: Operators get explanations, and access is authenticated

  Scenario: A request is explained by its id
    Given the deployment caribfert with 2 VMs and 1 entries
    When a request is sent and the command line explains it
    Then the command ends with 0 and its output has "candidates="

  Scenario: Tokens are reloaded, and a refused token is not disclosed
    Given a token file with the operator token "first-secret"
    Then the operator token "first-secret" is accepted and "other" is refused
    When the token file is replaced by one with "second-secret"
    Then the operator token "second-secret" is accepted and "first-secret" is refused
    When the token file is replaced by an invalid one
    Then the operator token "second-secret" is accepted and "first-secret" is refused
    And a caller may not claim to be another customer

  Scenario: Certificates are reloaded without a restart
    Given a TLS port with the certificate "one"
    Then a client sees the certificate "one"
    When the certificate is replaced by "two"
    Then a client sees the certificate "two"
