Feature: The main path through all processes

  Scenario: A document is applied, requests are answered, hosts are rebooted
    Given three control members, two entry hosts and a platform
    When alice sends a document with two mistakes
    And alice applies a document with a freight service
    And alice sends the same change again
    And bob sends a change that is based on the previous version
    And two upstreams announce themselves at entry-1
    And a caller requests a page through each entry host
    And a caller requests a freight quote without a key
    And a caller sends one freight quote through both entry hosts
    And a caller sends another body under the same key
    And a caller requests a brand that no service has
    And an upstream withdraws its announcement
    And alice saves a wave with a form of the console
    Then the wave reboots each host exactly once
    And alice sees the version in force at each process
    And the transcript equals the golden file "session.txt"
