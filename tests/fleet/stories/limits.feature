Feature: A tenant has one limit, for any number of agents

  Scenario: Without faults a tenant is served up to its limit
    Given a fleet of 5 agents in 3 zones
    And tenant shop has a limit of 60 requests per second and a burst of 30
    And the fleet has settled
    When shop sends 120 requests per second to all agents for 20 seconds
    Then shop was served at least 95% of its limit

  Scenario: A tenant sends all requests to one agent
    Given a fleet of 5 agents in 3 zones
    And tenant shop has a limit of 60 requests per second and a burst of 30
    And the fleet has settled
    When shop sends 90 requests per second to a3 for 15 seconds
    Then shop was served at least 90% of its limit

  Scenario: Two halves of the fleet both lease a tenant's limit for 20 s, and are connected again
    Given a fleet of 6 agents in 3 zones
    And tenant shop has a limit of 60 requests per second and a burst of 30
    And the fleet has settled
    When a0, a1 and a2 are cut off
    And shop sends 200 requests per second to all agents for 20 seconds
    And the cuts end
    And 30 seconds pass
    And shop sends 120 requests per second to all agents for 10 seconds
    Then shop was served at least 90% of its limit

  Scenario: An agent is stopped for longer than its lease, and continues
    Given a fleet of 3 agents in 3 zones
    And tenant shop has a limit of 60 requests per second and a burst of 30
    And the fleet has settled
    When shop sends 120 requests per second to all agents for 3 seconds
    And a0 is stopped for 6 seconds
    And shop sends 200 requests per second to all agents for 15 seconds
    Then shop was served at least 50% of its limit

  Scenario: An owner of the limit loses its state while the tenant sends requests
    Given a fleet of 3 agents in 3 zones
    And tenant shop has a limit of 60 requests per second and a burst of 30
    And the fleet has settled
    When shop sends 200 requests per second to all agents for 3 seconds
    And a1 restarts without state
    And shop sends 200 requests per second to all agents for 20 seconds
    Then shop was served at least 75% of its limit
    And shop was served at least 90% of its limit in the last 8 seconds

  Scenario: The tokens that a dead agent had leased are available again when its lease ends
    Given a fleet of 5 agents in 3 zones
    And tenant shop has a limit of 60 requests per second and a burst of 30
    And the fleet has settled
    When shop sends 120 requests per second to a4 for 4 seconds
    And a4 is killed
    And 3 seconds pass
    And shop sends 120 requests per second to a0 and a1 for 4 seconds
    Then shop was served at least 85% of its limit

  Scenario: Messages about leases are duplicated, 5 s late and out of order
    Given a fleet of 4 agents in 2 zones
    And tenant shop has a limit of 60 requests per second and a burst of 30
    And the fleet has settled
    When messages are lost, duplicated, up to 5 seconds late and out of order
    And shop sends 200 requests per second to all agents for 20 seconds
    Then shop was served at least 50% of its limit

  Scenario: An owner sends messages but receives none
    Given a fleet of 4 agents in 2 zones
    And tenant shop has a limit of 60 requests per second and a burst of 30
    And the fleet has settled
    When shop sends 120 requests per second to all agents for 2 seconds
    And a1 no longer receives messages
    And shop sends 200 requests per second to all agents for 25 seconds
    Then shop was served at least 60% of its limit

  Scenario: In the change from counters by period to leases a tenant gets neither a second budget nor less than its own
    Given a fleet of 4 agents in 2 zones
    And tenant shop has a limit of 60 requests per second and a burst of 30
    And all agents run the old program
    And the fleet has settled
    When shop sends 120 requests per second to all agents for 6 seconds
    Then shop was served at least 85% of its limit
    When a0, a1 and a2 are started with the new program
    And 12 seconds pass
    And a3 is started with the new program
    And shop sends 120 requests per second to all agents for 30 seconds
    Then the fleet writes version 2 within 1 second
    And shop was served at least 80% of its limit

  Scenario: An isolated agent answers in time
    Given a fleet of 3 agents in 3 zones
    And tenant shop has a limit of 60 requests per second and a burst of 30
    And the fleet has settled
    When a0 is cut off
    And 3 seconds pass
    And 20 clients of tenant shop send non-idempotent requests to a0 over 20 seconds
    Then none of the 20 requests ran
