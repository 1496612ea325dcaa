Feature: The ring is stable, and moves no more keys than necessary

  Scenario: Agents of capacities from 1 to 64 own keys in proportion to their capacities
    Given a fleet of 7 agents in 1 zones
    And a1 has capacity 2
    And a2 has capacity 4
    And a3 has capacity 8
    And a4 has capacity 16
    And a5 has capacity 32
    And a6 has capacity 64
    And the fleet has settled
    Then all agents use one ring of 7 members within 1 second
    And each agent owns its share of the keys

  Scenario: The largest agent leaves
    Given a fleet of 5 agents in 1 zones
    And a3 has capacity 16
    And a4 has capacity 64
    And the fleet has settled
    When 20 clients send non-idempotent requests to all agents
    And the current ring is noted
    And a4 leaves
    Then all agents use one ring of 4 members within 20 seconds
    And no more keys have moved than necessary
    When 20 seconds pass
    Then all copies are equal within 10 seconds
    And none of at least 20 attempt records is lost

  Scenario: An agent joins and gets its share, and no key moves between the other agents
    Given a fleet of 5 agents in 1 zones
    And the fleet has settled
    When the current ring is noted
    And a9 joins with capacity 3
    Then all agents use one ring of 6 members within 20 seconds
    When 15 seconds pass
    Then each agent owns its share of the keys
    And no more keys have moved than necessary

  Scenario: A new owner catches up before it answers
    Given a fleet of 3 agents in 1 zones
    And the fleet has settled
    When 30 clients send non-idempotent requests to all agents
    And a client sends a non-idempotent request to a0, which takes 25 seconds, and would retry at a3, a4
    And a3 and a4 join with capacity 9
    Then all agents use one ring of 5 members within 20 seconds
    When 2 seconds pass
    And a0 is killed
    And 3 seconds pass
    Then its request ran once
    And none of at least 31 attempt records is lost

  Scenario: Three agents join in one step while another one fails
    Given a fleet of 5 agents in 3 zones
    And the fleet has settled
    When 30 clients send non-idempotent requests to all agents
    And a5, a6 and a7 join
    And 6 seconds pass
    And a2 is killed
    Then all agents use one ring of 7 members within 30 seconds
    And none of at least 30 attempt records is lost
    And all copies are equal within 20 seconds

  Scenario: Capacities that fluctuate by 10% each second move no key
    Given a fleet of 5 agents in 3 zones
    And the fleet has settled
    When the current ring is noted
    And the capacities of a0, a1 and a4 fluctuate by 10% each second for 30 seconds
    Then the ring is the noted one

  Scenario: An agent that crashes 30 times in a minute moves no key
    Given a fleet of 5 agents in 3 zones
    And the fleet has settled
    When the current ring is noted
    And a4 crashes and restarts 30 times in 60 seconds
    Then the ring is the noted one

  Scenario: A minority that is cut off agrees on no ring of its own
    Given a fleet of 5 agents in 3 zones
    And the fleet has settled
    When a0 and a1 are cut off
    And 30 seconds pass
    And 10 clients send non-idempotent requests to a0 and a1
    Then none of the 10 requests ran
    When 10 clients send non-idempotent requests to a2, a3 and a4
    Then most of the 10 requests ran
    When the cuts end
    Then all agents use one ring of 5 members within 30 seconds

  Scenario: Without a majority the ring stays, and the agents log what to do
    Given a fleet of 4 agents in 2 zones
    And the fleet has settled
    When the current ring is noted
    And a0, a1 and a2 are killed
    And 60 seconds pass
    Then the ring is the noted one
    And an agent has logged: ring majority lost
    When a0, a1 and a2 are started
    Then all agents use one ring of 4 members within 15 seconds

  Scenario: All agents restart, and found a new fleet
    Given a fleet of 4 agents in 2 zones
    And the fleet has settled
    When a0, a1, a2 and a3 restart without state
    Then all agents use one ring of 4 members within 20 seconds

  Scenario: An agent that is no seed leaves, and restarts after its clock was set back
    Given a fleet of 4 agents in 2 zones
    And the fleet has settled
    When a7 joins
    And 15 seconds pass
    And a7 leaves
    And 3 seconds pass
    And the clock of a7 is set 80 seconds back
    And a7 is started
    And 20 seconds pass
    Then all agents use one ring of 5 members within 1 second
