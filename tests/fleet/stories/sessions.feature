Feature: Every agent learns of a session's earlier attempts before it admits a retry

  Scenario: An agent dies while a non-idempotent request runs
    Given a fleet of 3 agents in 3 zones
    And the fleet has settled
    When a client sends a non-idempotent request to a0, which takes 5 seconds, and would retry at a1, a2
    And a0 is killed
    And 3 seconds pass
    Then its request ran once
    And the outcomes of the client's tries are: broke off, fail

  Scenario: An agent restarts without state under its own name
    Given a fleet of 3 agents in 3 zones
    And the fleet has settled
    When 10 clients send non-idempotent requests to a0
    And a0 restarts without state
    And 20 seconds pass
    And 10 clients send non-idempotent requests to a0
    Then all of the 10 requests ran
    And none of at least 20 attempt records is lost
    And all copies are equal within 5 seconds

  Scenario: A request that is deduplicated in its zone is retried only in that zone
    Given a fleet of 3 agents in 3 zones
    And the fleet has settled
    When a client sends a request that is deduplicated in its zone for 8 seconds to a0, and retries at a1, a2 after 2 seconds
    And 7 seconds pass
    Then the last request ran in one zone, 3 times within 7 seconds

  Scenario: A request is not retried after its deduplication window
    Given a fleet of 3 agents in 3 zones
    And the fleet has settled
    When a client sends a request that is deduplicated everywhere for 3 seconds to a0, and retries at a1, a2 after 4 seconds
    And 7 seconds pass
    Then the outcomes of the client's tries are: broke off, fail

  Scenario: An agent's clock is 10 s ahead when it starts
    Given a fleet of 3 agents in 3 zones
    And the clock of a0 is 10 seconds ahead
    And the fleet has settled
    When a client sends a request that is deduplicated in its zone for 8 seconds to a0, and retries at a1, a2 after 3 seconds
    And 8 seconds pass
    Then the last request ran in one zone, 3 times within 8 seconds

  Scenario: An agent restarts with a clock that was set 10 s back
    Given a fleet of 3 agents in 3 zones
    And the fleet has settled
    When the clock of a1 is set 10 seconds back
    And a1 restarts without state
    And 20 seconds pass
    And a client sends a non-idempotent request to a1, which takes 5 seconds, and would retry at a0
    And a1 is killed
    And 3 seconds pass
    Then the outcomes of the client's tries are: broke off, fail

  Scenario: An agent's clock jumps 10 s ahead and later 10 s back while it runs
    Given a fleet of 3 agents in 3 zones
    And the fleet has settled
    When a client sends a non-idempotent request to a0, which takes 8 seconds, and would retry at a1
    And the clock of a1 is set 10 seconds ahead
    And 1 second passes
    And the clock of a1 is set 20 seconds back
    And 1 second passes
    And a0 is killed
    And 1 second passes
    Then the outcomes of the client's tries are: broke off, fail
    And all owners have recorded that the request may have run

  Scenario: One of two agents receives the other's messages, and the other receives none
    Given a fleet of 3 agents in 3 zones
    And the fleet has settled
    When a client sends a non-idempotent request to a0, which takes 9 seconds, and would retry at a1
    And a1 no longer receives messages from a0
    And 2 seconds pass
    And a0 is killed
    And 10 clients send non-idempotent requests to a1 and a2 over 5 seconds
    Then most of the 10 requests ran
    And all copies are equal within 15 seconds

  Scenario: All owners of a session die at once, and its request is not retried
    Given a fleet of 6 agents in 3 zones
    And attempt records are kept for 20 seconds
    And the fleet has settled
    When a client sends a non-idempotent request to a0, which takes 8 seconds, and would retry at a1, a2, a3, a4, a5
    And all owners of the session are killed
    And all owners of the session restart without state
    And 15 seconds pass
    Then its request ran once

  Scenario: Messages are duplicated, late and out of order
    Given a fleet of 5 agents in 3 zones
    And the fleet has settled
    When messages are lost, duplicated, up to 5 seconds late and out of order
    And 100 clients send non-idempotent requests to all agents over 20 seconds
    And the network recovers
    Then most of the 100 requests ran
    And all copies are equal within 15 seconds

  Scenario: A request is admitted only if enough owners store its attempt record
    Given a fleet of 5 agents in 3 zones
    And the fleet has settled
    When a0 and a1 are cut off
    And 3 seconds pass
    And 10 clients send non-idempotent requests to a0 and a1
    Then none of the 10 requests ran
    When 10 clients send non-idempotent requests to a2, a3 and a4
    Then some of the 10 requests ran
    And none of at least 3 attempt records is lost

  Scenario: Agents restart in turn, fewer at a time than there are copies
    Given a fleet of 5 agents in 3 zones
    And the fleet has settled
    When 20 clients send non-idempotent requests to all agents
    And a0 and a1 restart without state
    And 8 seconds pass
    And a2 and a3 restart without state
    And 8 seconds pass
    Then none of at least 20 attempt records is lost
    And all copies are equal within 5 seconds

  Scenario: Copies are equal again soon after a cut of 20 s
    Given a fleet of 6 agents in 3 zones
    And the fleet has settled
    When a0 and a3 are cut off
    And 100 clients send non-idempotent requests to all agents over 20 seconds
    And the cuts end
    Then all copies are equal within 20 seconds
    And none of at least 40 attempt records is lost

  Scenario: The limit of hints is reached
    Given a fleet of 3 agents in 3 zones
    And the limit of hints is 10
    And the fleet has settled
    When a2 is killed
    And 40 clients send non-idempotent requests to a0 and a1 over 2 seconds
    Then all of the 40 requests ran
    And an agent has logged: hints full
    When a2 is started
    And 12 seconds pass
    Then all copies are equal within 5 seconds
    And none of at least 40 attempt records is lost

  Scenario: The limit of records is reached
    Given a fleet of 3 agents in 3 zones
    And the limit of records is 20
    And attempt records are kept for 10 seconds
    And the fleet has settled
    When 40 clients send non-idempotent requests to all agents over 2 seconds
    Then some of the 40 requests ran
    And an agent has counted: records full
    When 12 seconds pass
    And 10 clients send non-idempotent requests to all agents
    Then all of the 10 requests ran

  Scenario: A session reaches its limit of attempt records
    Given a fleet of 3 agents in 3 zones
    And the limit of attempt records in a session is 8
    And the fleet has settled
    When 12 clients of one session send non-idempotent requests to all agents
    Then some of the 12 requests ran
    And an agent has counted: attempts full

  Scenario: An agent is stopped while a request runs, and continues after the client has retried elsewhere
    Given a fleet of 3 agents in 3 zones
    And the fleet has settled
    When a client sends a non-idempotent request to a0, which takes 3 seconds, and would retry at a1, a2
    And a0 is stopped for 8 seconds
    And 12 seconds pass
    Then its request ran once
    And all copies are equal within 5 seconds

  Scenario: An agent hands over its records on SIGTERM
    Given a fleet of 4 agents in 2 zones
    And the fleet has settled
    When 20 clients send non-idempotent requests to a0 over 1 second
    And a0 leaves
    Then all agents use one ring of 3 members within 15 seconds
    And none of at least 20 attempt records is lost

  Scenario: A clock that is too far ahead is adjusted, and logged
    Given a fleet of 5 agents in 3 zones
    And the fleet has settled
    When the clock of a4 is set 10 seconds ahead
    And a4 restarts without state
    And 20 seconds pass
    And 20 clients send non-idempotent requests to all agents
    Then most of the 20 requests ran
    And an agent has logged: clock adjusted

  Scenario: Agents with wrong clocks restart together, and adopt the time of the running agents
    Given a fleet of 7 agents in 3 zones
    And the clock of a0 is 10 seconds ahead
    And the clock of a1 is 10 seconds ahead
    And the clock of a2 is 10 seconds ahead
    And the clock of a3 is 10 seconds ahead
    And attempt records are kept for 10 seconds
    And the fleet has settled
    When a4, a5 and a6 restart without state
    And 20 seconds pass
    And 20 clients send non-idempotent requests to all agents
    Then all of the 20 requests ran
    And all copies are equal within 5 seconds
