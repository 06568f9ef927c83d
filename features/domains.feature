@fleet_of_slowly_warming_engines
Feature: Failure domains, targets and engines leave and return

  # Guards against work that still reaches a drained failure domain, and against streams that the
  # drain cuts off.
  Scenario: A failure domain is drained under load and returned
    Given 48 callers with seed 21 that send all kinds of requests
    And 60 answers have arrived
    When an operator drains "fd-b" and waits until that is in force
    And 6 seconds pass
    Then the targets of "fd-b" received no new request from 3 seconds after the acceptance on
    And they were busy before that
    When an operator returns "fd-b" and waits until that is in force
    Then the targets of "fd-b" serve requests again within 10 seconds
    When the callers have received their last answers
    Then every answer is whole or was refused with a time to try again
    And no answer is lost
    And no caller was told that a request may have run
    And no operation that may not be repeated ran twice
    And nothing that was refused as not run has run

  # Guards against work for a target that has announced its end, and against a cut of its streams.
  Scenario: An engine starts to leave under load
    Given 48 callers with seed 22 that send requests of "draft, question"
    And 60 answers have arrived
    When the busiest engine starts to leave
    And 5 seconds pass
    Then it received no new request from 3 seconds after that on
    And its streams have ended
    When the callers have received their last answers
    Then every answer is whole
    And no answer is lost

  # Guards against an overload of an engine that has lost its warmth, which makes it collapse.
  Scenario: An engine restarts cold under load
    Given 48 callers with seed 23 that send requests of "draft, question"
    And 60 answers have arrived
    When the busiest engine restarts
    And 6 seconds pass
    And the callers have received their last answers
    Then the engine serves again and never collapsed
    And only streams of the restarted engine broke off
