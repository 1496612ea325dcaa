Feature: A rolling upgrade loses and doubles nothing

  Scenario: A rolling upgrade, agent by agent
    Given a fleet of 4 agents in 2 zones
    And all agents run the old program
    And the fleet has settled
    When 10 clients submit their sheets at all agents
    And a0 and a1 start from nothing with the new program
    And 8 seconds pass
    And a2 starts from nothing with the new program
    And 8 seconds pass
    And a3 starts from nothing with the new program
    And 10 clients submit their sheets at all agents over 5 seconds
    Then the fleet writes version 2 within 25 seconds
    And all copies are equal within 5 seconds

  Scenario: The agent that drives a step dies between its phases
    Given a fleet of 5 agents in 3 zones
    And all agents run the old program
    And the fleet has settled
    When all agents start from nothing with the new program
    And the fleet is in phase widen
    And whoever proposes the next ring is killed
    And the fleet is in phase move
    And whoever proposes the next ring is killed
    Then the fleet writes version 2 within 40 seconds

  Scenario: An old agent that was cut off comes back after narrowing
    Given a fleet of 5 agents in 3 zones
    And 60 seconds marks last
    And a4 runs the old program
    And the fleet has settled
    When a client submits its sheet at a4, which takes 3 seconds
    And a4 is cut off
    Then the fleet writes version 2 within 45 seconds
    And all owners know that the sheet may have run
    When the cuts heal
    And 8 seconds pass
    Then all owners know that the sheet was answered
    And an operator was told of: fenced
    When a client submits its sheet at a0, which takes 9 seconds, and would come again at a4
    And a0 is killed
    And 2 seconds pass
    Then its sheet ran once
    And the client was told: broke off, fail

  Scenario: Half the fleet is rolled back in mid-move
    Given a fleet of 6 agents in 3 zones
    And a5 runs the old program
    And the fleet has settled
    When 20 clients submit their sheets at all agents over 2 seconds
    And a5 starts from nothing with the new program
    And the fleet is in phase move
    And a0, a1 and a2 start from nothing with the old program
    And 12 seconds pass
    Then the fleet writes version 1 within 10 seconds
    And all copies are equal within 15 seconds
    When a0, a1 and a2 start from nothing with the new program
    Then the fleet writes version 2 within 40 seconds

  Scenario: A new field is written, passed through an old agent, and back
    Given a fleet of 3 agents in 3 zones
    And a1 and a2 run the old program
    And the fleet has settled
    When a client submits its sheet at a0
    And a newer program adds a field to the session at a0
    And 5 seconds pass
    And a0 starts from nothing
    And 8 seconds pass
    Then a0 has the newer field back
    And all copies are equal within 5 seconds

  Scenario: An operator holds the fleet at its version
    Given a fleet of 3 agents in 3 zones
    And 1 is the highest version held
    And the fleet has settled
    When 10 seconds pass
    Then the fleet writes version 1 within 1 second

  Scenario: A step back is refused once the fleet has narrowed
    Given a fleet of 3 agents in 3 zones
    And the fleet has settled
    When a1 starts from nothing with the old program
    And 8 seconds pass
    Then the fleet writes version 2 within 1 second
    And an operator was told of: fenced
