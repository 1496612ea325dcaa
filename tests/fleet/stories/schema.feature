Feature: A rolling upgrade loses no record and repeats no effect

  Scenario: A rolling upgrade, agent by agent
    Given a fleet of 4 agents in 2 zones
    And all agents run the old program
    And the fleet has settled
    When 10 clients send non-idempotent requests to all agents
    And a0 and a1 restart without state and with the new program
    And 8 seconds pass
    And a2 restarts without state and with the new program
    And 8 seconds pass
    And a3 restarts without state and with the new program
    And 10 clients send non-idempotent requests to all agents over 5 seconds
    Then the fleet writes version 2 within 25 seconds
    And all copies are equal within 5 seconds

  Scenario: The agent that proposes a ring dies between two phases
    Given a fleet of 5 agents in 3 zones
    And all agents run the old program
    And the fleet has settled
    When all agents restart without state and with the new program
    And the fleet is in phase widen
    And the agent that proposes the next ring is killed
    And the fleet is in phase move
    And the agent that proposes the next ring is killed
    Then the fleet writes version 2 within 40 seconds

  Scenario: An agent with the old program is reconnected after the phase narrow
    Given a fleet of 5 agents in 3 zones
    And attempt records are kept for 60 seconds
    And a4 runs the old program
    And the fleet has settled
    When a client sends a non-idempotent request to a4, which takes 3 seconds
    And a4 is cut off
    Then the fleet writes version 2 within 45 seconds
    And all owners have recorded that the request may have run
    When the cuts end
    And 8 seconds pass
    Then all owners have recorded that the request was answered
    And an agent has logged: fenced
    When a client sends a non-idempotent request to a0, which takes 9 seconds, and would retry at a4
    And a0 is killed
    And 2 seconds pass
    Then its request ran once
    And the outcomes of the client's tries are: broke off, fail

  Scenario: Half the fleet is rolled back in the phase move
    Given a fleet of 6 agents in 3 zones
    And a5 runs the old program
    And the fleet has settled
    When 20 clients send non-idempotent requests to all agents over 2 seconds
    And a5 restarts without state and with the new program
    And the fleet is in phase move
    And a0, a1 and a2 restart without state and with the old program
    And 12 seconds pass
    Then the fleet writes version 1 within 10 seconds
    And all copies are equal within 15 seconds
    When a0, a1 and a2 restart without state and with the new program
    Then the fleet writes version 2 within 40 seconds

  Scenario: A new field is written, stored by agents with the old program, and read again
    Given a fleet of 3 agents in 3 zones
    And a1 and a2 run the old program
    And the fleet has settled
    When a client sends a non-idempotent request to a0
    And a newer program adds a field to the session at a0
    And 5 seconds pass
    And a0 restarts without state
    And 8 seconds pass
    Then a0 has the newer field again
    And all copies are equal within 5 seconds

  Scenario: The settings keep the fleet at its version
    Given a fleet of 3 agents in 3 zones
    And the highest allowed version is 1
    And the fleet has settled
    When 10 seconds pass
    Then the fleet writes version 1 within 1 second

  Scenario: An agent with the old program is refused after the phase narrow
    Given a fleet of 3 agents in 3 zones
    And the fleet has settled
    When a1 restarts without state and with the old program
    And 8 seconds pass
    Then the fleet writes version 2 within 1 second
    And an agent has logged: fenced
