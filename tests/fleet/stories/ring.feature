Feature: The ring stays put, and moves no more than it has to

  Scenario: Agents of capacities from 1 to 64 keep keys by their capacities
    Given a fleet of 7 agents in 1 zones
    And a1 has capacity 2
    And a2 has capacity 4
    And a3 has capacity 8
    And a4 has capacity 16
    And a5 has capacity 32
    And a6 has capacity 64
    And the fleet has settled
    Then all agents have one ring of 7 within 1 second
    And each agent keeps its share of the keys

  Scenario: The largest agent leaves
    Given a fleet of 5 agents in 1 zones
    And a3 has capacity 16
    And a4 has capacity 64
    And the fleet has settled
    When 20 clients submit their sheets at all agents
    And the ring is looked at
    And a4 leaves
    Then all agents have one ring of 4 within 20 seconds
    And no more keys have moved than had to
    When 20 seconds pass
    Then all copies are equal within 10 seconds
    And no mark of the 20 sheets is lost

  Scenario: An agent joins and takes its share, and no key moves between those that were there
    Given a fleet of 5 agents in 1 zones
    And the fleet has settled
    When the ring is looked at
    And a9 joins with capacity 3
    Then all agents have one ring of 6 within 20 seconds
    When 15 seconds pass
    Then each agent keeps its share of the keys
    And no more keys have moved than had to

  Scenario: A new owner catches up before it answers
    Given a fleet of 3 agents in 1 zones
    And the fleet has settled
    When 30 clients submit their sheets at all agents
    And a client submits its sheet at a0, which takes 25 seconds, and would come again at a3, a4
    And a3 and a4 join with capacity 9
    Then all agents have one ring of 5 within 20 seconds
    When 2 seconds pass
    And a0 is killed
    And 3 seconds pass
    Then its sheet ran once
    And no mark of the 31 sheets is lost

  Scenario: Three join in one step while one fails
    Given a fleet of 5 agents in 3 zones
    And the fleet has settled
    When 30 clients submit their sheets at all agents
    And a5, a6 and a7 join
    And 6 seconds pass
    And a2 is killed
    Then all agents have one ring of 7 within 30 seconds
    And no mark of the 30 sheets is lost
    And all copies are equal within 20 seconds

  Scenario: Capacities that wobble by 10% each second move nothing
    Given a fleet of 5 agents in 3 zones
    And the fleet has settled
    When the ring is looked at
    And the capacities of a0, a1 and a4 wobble by 10% each second for 30 seconds
    Then the ring is the same as before

  Scenario: An agent that flaps 30 times in a minute moves nothing
    Given a fleet of 5 agents in 3 zones
    And the fleet has settled
    When the ring is looked at
    And a4 dies and comes back 30 times in 60 seconds
    Then the ring is the same as before

  Scenario: A minority that is cut off draws no ring of its own
    Given a fleet of 5 agents in 3 zones
    And the fleet has settled
    When a0 and a1 are cut off
    And 30 seconds pass
    And 10 clients submit their sheets at a0 and a1
    Then none of the 10 sheets ran
    When 10 clients submit their sheets at a2, a3 and a4
    Then most of the 10 sheets ran
    When the cuts heal
    Then all agents have one ring of 5 within 30 seconds

  Scenario: Without a majority there is no other ring, and an operator is told what to do
    Given a fleet of 4 agents in 2 zones
    And the fleet has settled
    When the ring is looked at
    And a0, a1 and a2 are killed
    And 60 seconds pass
    Then the ring is the same as before
    And an operator was told of: ring majority lost
    When a0, a1 and a2 are started
    Then all agents have one ring of 4 within 15 seconds

  Scenario: The whole fleet is started again and founds itself anew
    Given a fleet of 4 agents in 2 zones
    And the fleet has settled
    When a0, a1, a2 and a3 start from nothing
    Then all agents have one ring of 4 within 20 seconds

  Scenario: An agent that is no seed leaves, and comes back by a clock that has been set back meanwhile
    Given a fleet of 4 agents in 2 zones
    And the fleet has settled
    When a7 joins
    And 15 seconds pass
    And a7 leaves
    And 3 seconds pass
    And the clock of a7 is set 80 seconds back
    And a7 is started
    And 20 seconds pass
    Then all agents have one ring of 5 within 1 second
