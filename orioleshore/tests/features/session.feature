Feature: The main path through all processes

  Scenario: A document is agreed, requests are answered, hosts are maintained
    Given three control members, two entry hosts and a platform
    When alice sends a document with two mistakes
    And alice applies a document with a freight service
    And alice sends the same change again
    And bob's change is based on the version before
    And two upstreams announce themselves at entry-1
    And a caller asks for a page through each entry host
    And a caller asks for a freight quote without a key
    And a caller sends one freight quote through both entry hosts
    And a caller sends another body under the same key
    And a caller asks for a brand that nobody has
    And an upstream leaves
    And alice saves a wave with the form of the console
    Then the wave reboots every host once
    And alice sees who has which version in force
    And the transcript equals the golden file "session.txt"
