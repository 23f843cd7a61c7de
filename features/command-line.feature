Feature: The binary reports errors and exits with the exit code of the error kind

  Scenario Outline: <case>
    When the binary runs with "<arguments>"
    Then it exits with code <code>
    And it prints "<text>"

    Examples:
      | case                              | arguments                                                   | code | text                             |
      | help                              | --help                                                      | 0    | check-settings                   |
      | help with examples                | apply --help                                                | 0    | flamingorouter apply             |
      | an unknown command                | aply                                                        | 2    | apply                            |
      | an unknown option                 | status --colour                                             | 2    | --colour                         |
      | the settings of an example        | check-settings examples/coastline/entry-1.json              | 0    | "electionMs": 400                |
      | not a settings file               | check-settings examples/workloads/batch.json                | 2    | availabilityZone: expected       |
      | serve with invalid settings       | serve examples/workloads/batch.json                         | 2    | vm: expected                     |
      | an unreachable cell               | status --endpoints 127.0.0.1:1 --timeout-ms 200             | 14   | unavailable                      |
      | an unreachable cell, as JSON      | status --endpoints 127.0.0.1:1 --timeout-ms 200 -o json     | 14   | {"error":{"kind":"unavailable"   |
      | a missing data folder             | state inspect no-such-folder                                | 6    | notFound                         |
      | cancel without an id or selector  | cancel                                                      | 2    | --selector                       |
