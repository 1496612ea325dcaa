Feature: What a session's earlier requests did is known wherever its client comes next

  Scenario: An agent dies while a sheet is being submitted
    Given a fleet of 3 agents in 3 zones
    And the fleet has settled
    When a client submits its sheet at a0, which takes 5 seconds, and would come again at a1, a2
    And a0 is killed
    And 3 seconds pass
    Then its sheet ran once
    And the client was told: broke off, fail

  Scenario: An agent restarts from nothing under its own name in the middle of counting
    Given a fleet of 3 agents in 3 zones
    And the fleet has settled
    When 10 clients submit their sheets at a0
    And a0 starts from nothing
    And 20 seconds pass
    And 10 clients submit their sheets at a0
    Then all of the 10 sheets ran
    And no mark of the 20 sheets is lost
    And all copies are equal within 5 seconds

  Scenario: A request that servers of one zone deduplicate goes to that zone again, or nowhere
    Given a fleet of 3 agents in 3 zones
    And the fleet has settled
    When a client sends a request that is deduplicated in its zone for 8 seconds to a0, and comes again at a1, a2 after 2 seconds
    And 7 seconds pass
    Then the last request ran in one zone, 3 times within 7 seconds

  Scenario: A request is not sent again when its window is over
    Given a fleet of 3 agents in 3 zones
    And the fleet has settled
    When a client sends a request that is deduplicated everywhere for 3 seconds to a0, and comes again at a1, a2 after 4 seconds
    And 7 seconds pass
    Then the client was told: broke off, fail

  Scenario: One agent's clock is 10 s ahead when it starts
    Given a fleet of 3 agents in 3 zones
    And the clock of a0 is 10 seconds ahead
    And the fleet has settled
    When a client sends a request that is deduplicated in its zone for 8 seconds to a0, and comes again at a1, a2 after 3 seconds
    And 8 seconds pass
    Then the last request ran in one zone, 3 times within 8 seconds

  Scenario: An agent comes back with a clock that is 10 s back
    Given a fleet of 3 agents in 3 zones
    And the fleet has settled
    When the clock of a1 is set 10 seconds back
    And a1 starts from nothing
    And 20 seconds pass
    And a client submits its sheet at a1, which takes 5 seconds, and would come again at a0
    And a1 is killed
    And 3 seconds pass
    Then the client was told: broke off, fail

  Scenario: An agent's clock jumps 10 s ahead and later 10 s back while it runs
    Given a fleet of 3 agents in 3 zones
    And the fleet has settled
    When a client submits its sheet at a0, which takes 8 seconds, and would come again at a1
    And the clock of a1 is set 10 seconds ahead
    And 1 second passes
    And the clock of a1 is set 20 seconds back
    And 1 second passes
    And a0 is killed
    And 1 second passes
    Then the client was told: broke off, fail
    And all owners know that the sheet may have run

  Scenario: A hears B, and B doesn't hear A
    Given a fleet of 3 agents in 3 zones
    And the fleet has settled
    When a client submits its sheet at a0, which takes 9 seconds, and would come again at a1
    And a1 no longer hears a0
    And 2 seconds pass
    And a0 is killed
    And 10 clients submit their sheets at a1 and a2 over 5 seconds
    Then most of the 10 sheets ran
    And all copies are equal within 15 seconds

  Scenario: All owners of a session die at once, and nothing is guessed
    Given a fleet of 6 agents in 3 zones
    And 20 seconds marks last
    And the fleet has settled
    When a client submits its sheet at a0, which takes 8 seconds, and would come again at a1, a2, a3, a4, a5
    And all owners of the session are killed
    And all owners of the session start from nothing
    And 15 seconds pass
    Then its sheet ran once

  Scenario: Messages come doubled, late and out of order
    Given a fleet of 5 agents in 3 zones
    And the fleet has settled
    When messages are lost, doubled, up to 5 seconds late and out of order
    And 100 clients submit their sheets at all agents over 20 seconds
    And the network is well again
    Then most of the 100 sheets ran
    And all copies are equal within 15 seconds

  Scenario: What was answered is on enough owners, or it is not answered
    Given a fleet of 5 agents in 3 zones
    And the fleet has settled
    When a0 and a1 are cut off
    And 3 seconds pass
    And 10 clients submit their sheets at a0 and a1
    Then none of the 10 sheets ran
    When 10 clients submit their sheets at a2, a3 and a4
    Then some of the 10 sheets ran
    And no mark of the 3 sheets is lost

  Scenario: Agents restart one after another, fewer than there are copies at a time
    Given a fleet of 5 agents in 3 zones
    And the fleet has settled
    When 20 clients submit their sheets at all agents
    And a0 and a1 start from nothing
    And 8 seconds pass
    And a2 and a3 start from nothing
    And 8 seconds pass
    Then no mark of the 20 sheets is lost
    And all copies are equal within 5 seconds

  Scenario: Copies are equal again soon after a cut of 20 s
    Given a fleet of 6 agents in 3 zones
    And the fleet has settled
    When a0 and a3 are cut off
    And 100 clients submit their sheets at all agents over 20 seconds
    And the cuts heal
    Then all copies are equal within 20 seconds
    And no mark of the 40 sheets is lost

  Scenario: The store of hints is full
    Given a fleet of 3 agents in 3 zones
    And 10 hints are kept
    And the fleet has settled
    When a2 is killed
    And 40 clients submit their sheets at a0 and a1 over 2 seconds
    Then all of the 40 sheets ran
    And an operator was told of: hints full
    When a2 is started
    And 12 seconds pass
    Then all copies are equal within 5 seconds
    And no mark of the 40 sheets is lost

  Scenario: The store of records is full
    Given a fleet of 3 agents in 3 zones
    And 20 records are kept
    And 10 seconds marks last
    And the fleet has settled
    When 40 clients submit their sheets at all agents over 2 seconds
    Then some of the 40 sheets ran
    And it was counted: records full
    When 12 seconds pass
    And 10 clients submit their sheets at all agents
    Then all of the 10 sheets ran

  Scenario: A session has more marks than are kept for one
    Given a fleet of 3 agents in 3 zones
    And 8 marks fit in a session
    And the fleet has settled
    When 12 clients of one session submit their sheets at all agents
    Then some of the 12 sheets ran
    And it was counted: attempts full

  Scenario: An agent is stopped with a sheet on its way, and goes on after another one was asked
    Given a fleet of 3 agents in 3 zones
    And the fleet has settled
    When a client submits its sheet at a0, which takes 3 seconds, and would come again at a1, a2
    And a0 is stopped for 8 seconds
    And 12 seconds pass
    Then its sheet ran once
    And all copies are equal within 5 seconds

  Scenario: SIGTERM hands over what an agent holds
    Given a fleet of 4 agents in 2 zones
    And the fleet has settled
    When 20 clients submit their sheets at a0 over 1 second
    And a0 leaves
    Then all agents have one ring of 3 within 15 seconds
    And no mark of the 20 sheets is lost

  Scenario: A clock that is too far ahead is not believed, and is named
    Given a fleet of 5 agents in 3 zones
    And the fleet has settled
    When the clock of a4 is set 10 seconds ahead
    And a4 starts from nothing
    And 20 seconds pass
    And 20 clients submit their sheets at all agents
    Then most of the 20 sheets ran
    And an operator was told of: clock adjusted

  Scenario: Agents whose clocks are off come back together, and go by the time of those that are there
    Given a fleet of 7 agents in 3 zones
    And the clock of a0 is 10 seconds ahead
    And the clock of a1 is 10 seconds ahead
    And the clock of a2 is 10 seconds ahead
    And the clock of a3 is 10 seconds ahead
    And 10 seconds marks last
    And the fleet has settled
    When a4, a5 and a6 start from nothing
    And 20 seconds pass
    And 20 clients submit their sheets at all agents
    Then all of the 20 sheets ran
    And all copies are equal within 5 seconds
