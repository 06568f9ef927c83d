@fleet
Feature: Callers do not notice that a router dies, pauses or stops

  # Guards against lost or truncated streams and against repeated publications when a router dies.
  Scenario: A router is killed while it streams answers
    Given 48 callers with seed 11 that send all kinds of requests
    And 60 answers have arrived
    When the router with the most open requests is killed
    And 6 seconds pass
    And the callers have received their last answers
    Then only operations that the killed router had begun have an unknown outcome
    And at least 1 answers were resumed on another router
    And no operation that may not be repeated ran twice
    And nothing that was refused as not run has run

  # Guards against a stop that cuts off requests in flight or exits with an error.
  Scenario: A router is stopped under load
    Given 48 callers with seed 12 that send all kinds of requests
    And 60 answers have arrived
    When the router with the most open requests is asked to stop
    And the router has stopped
    And the callers have received their last answers
    Then it has ended with exit code 0
    And it had requests in flight and cut none off
    And every answer is whole or was refused with a time to try again
    And no answer is lost
    And no operation that may not be repeated ran twice
    And nothing that was refused as not run has run

  # Guards against answers lost at a router that hangs, and against repeated work when it goes on.
  Scenario: A router is paused for 10 seconds
    Given 48 callers with seed 13 that send all kinds of requests
    And 60 answers have arrived
    When the router with the most open requests is paused
    And 10 seconds pass
    And the router is continued
    And 3 seconds pass
    And the callers have received their last answers
    Then every answer is whole or was refused with a time to try again
    And at least 1 answers were resumed on another router
    And no operation that may not be repeated ran twice
    And nothing that was refused as not run has run
