Feature: A tenant has one limit, however many agents there are

  Scenario: Nothing fails, and a tenant gets what it may have
    Given a fleet of 5 agents in 3 zones
    And shop may have 60 requests a second and 30 at once
    And the fleet has settled
    When shop asks 120 times a second at all agents for 20 seconds
    Then shop got at least 95% of its limit

  Scenario: A tenant comes to one agent alone
    Given a fleet of 5 agents in 3 zones
    And shop may have 60 requests a second and 30 at once
    And the fleet has settled
    When shop asks 90 times a second at a3 for 15 seconds
    Then shop got at least 90% of its limit

  Scenario: Two halves both spend a tenant's limit for 20 s and meet again
    Given a fleet of 6 agents in 3 zones
    And shop may have 60 requests a second and 30 at once
    And the fleet has settled
    When a0, a1 and a2 are cut off
    And shop asks 200 times a second at all agents for 20 seconds
    And the cuts heal
    And 30 seconds pass
    And shop asks 120 times a second at all agents for 10 seconds
    Then shop got at least 90% of its limit

  Scenario: An agent is stopped for longer than its lease and goes on as if nothing had been
    Given a fleet of 3 agents in 3 zones
    And shop may have 60 requests a second and 30 at once
    And the fleet has settled
    When shop asks 120 times a second at all agents for 3 seconds
    And a0 is stopped for 6 seconds
    And shop asks 200 times a second at all agents for 15 seconds
    Then shop got at least 50% of its limit

  Scenario: An owner of the limit restarts from nothing in the middle of counting
    Given a fleet of 3 agents in 3 zones
    And shop may have 60 requests a second and 30 at once
    And the fleet has settled
    When shop asks 200 times a second at all agents for 3 seconds
    And a1 starts from nothing
    And shop asks 200 times a second at all agents for 20 seconds
    Then shop got at least 75% of its limit
    And shop got at least 90% of its limit in the last 8 seconds

  Scenario: What an agent that died had on loan comes back with its lease
    Given a fleet of 5 agents in 3 zones
    And shop may have 60 requests a second and 30 at once
    And the fleet has settled
    When shop asks 120 times a second at a4 for 4 seconds
    And a4 is killed
    And 3 seconds pass
    And shop asks 120 times a second at a0 and a1 for 4 seconds
    Then shop got at least 85% of its limit

  Scenario: Messages about loans come doubled, 5 s late and out of order
    Given a fleet of 4 agents in 2 zones
    And shop may have 60 requests a second and 30 at once
    And the fleet has settled
    When messages are lost, doubled, up to 5 seconds late and out of order
    And shop asks 200 times a second at all agents for 20 seconds
    Then shop got at least 50% of its limit

  Scenario: An owner is heard but hears nobody
    Given a fleet of 4 agents in 2 zones
    And shop may have 60 requests a second and 30 at once
    And the fleet has settled
    When shop asks 120 times a second at all agents for 2 seconds
    And a1 hears nobody any more
    And shop asks 200 times a second at all agents for 25 seconds
    Then shop got at least 60% of its limit

  Scenario: In the switch from counters by period to lent parts a tenant gets no second budget and keeps its own
    Given a fleet of 4 agents in 2 zones
    And shop may have 60 requests a second and 30 at once
    And all agents run the old program
    And the fleet has settled
    When shop asks 120 times a second at all agents for 6 seconds
    Then shop got at least 85% of its limit
    When a0, a1 and a2 are started with the new program
    And 12 seconds pass
    And a3 is started with the new program
    And shop asks 120 times a second at all agents for 30 seconds
    Then the fleet writes version 2 within 1 second
    And shop got at least 80% of its limit

  Scenario: An agent that can ask nobody answers in time all the same
    Given a fleet of 3 agents in 3 zones
    And shop may have 60 requests a second and 30 at once
    And the fleet has settled
    When a0 is cut off
    And 3 seconds pass
    And 20 clients of shop submit their sheets at a0 over 20 seconds
    Then none of the 20 sheets ran
