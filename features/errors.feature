Feature: The program is one binary

  Scenario: The binary starts
    When the binary runs with "--help"
    Then it exits with code 0
