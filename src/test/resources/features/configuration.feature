Feature: An accepted configuration is in force everywhere and never reverts

  Background:
    Given a deployment with two availability zones under an accepted configuration

  Scenario: Of two operators who race with equal versions one wins, and the other is told who did
    When operator change "a" is accepted from version 1
    And operator change "b" is accepted from version 1
    Then the change is refused as "configuration-conflict"
    And the refusal names version 2

  Scenario: A change that is sent again gets the first result
    When operator change "a" is accepted from version 1
    And operator change "a" is accepted from version 1
    Then the change has become version 2

  Scenario: A restarted instance comes back with the last accepted configuration
    When operator change "a" is accepted from version 1
    And every instance is restarted
    Then version 2 is in force on every instance
