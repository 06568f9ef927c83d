@fleet
Feature: The object API fails

  # Guards against a configuration that is dropped, against unkeyed requests that wait for the store
  # and against keyed requests that run unclaimed during an outage.
  Scenario: The store is down while requests run
    Given 32 callers with seed 31 that send all kinds of requests
    And 60 answers have arrived
    When the store goes down
    And 1 second passes
    And 24 callers each send one more request of "publish" with a deadline of 4 seconds
    And 12 callers each send one more request of "publish" with a deadline of 14 seconds
    And 7 seconds pass
    Then the configuration is still in force on every router
    And at least 30 requests without a key were answered since the outage began
    And no keyed request of the outage has run
    When the store is up again
    And the callers have received their last answers
    Then every keyed request is done once or refused as "STORE_UNAVAILABLE"
    And the requests with a deadline of 4 seconds were refused with a time to try again
    And the requests with a deadline of 14 seconds are done
    And every request without a key of "draft, question, lookup, announce" is whole
    And no operation that may not be repeated ran twice
    And nothing that was refused as not run has run

  # Guards against a second run of a keyed request whose claim took effect without an answer.
  Scenario: Answers of the store are lost after their effect
    Given a store that loses 30% of its answers after their effect
    And 32 callers with seed 32 that send requests of "publish, lookup"
    When 60 more answers have arrived
    And 4 seconds pass
    And the callers have received their last answers
    Then the store has lost answers
    And every keyed request is done once or refused as "STORE_UNAVAILABLE"
    And no operation that may not be repeated ran twice
    And nothing that was refused as not run has run
    When the callers send their finished keyed requests again
    Then each of them is answered from the stored outcome
    And no operation that may not be repeated ran twice

  # Guards against a version that stays in use after its deadline because nobody can record it.
  Scenario: The store is down for the length of a move
    Given 32 callers with seed 33 that send requests of "draft, question"
    And 60 answers have arrived
    And a move of the engines to new targets within 10 seconds
    And the new targets serve requests
    When the store goes down
    And the deadline of the move and 5 more seconds have passed
    Then the configuration is still in force on every router
    And the new targets received no new request from 3 seconds after the deadline on
    And at least 60 requests without a key were answered since the outage began
    When the store is up again
    Then the move is recorded as reverted within 20 seconds
    When the callers have received their last answers
    Then every answer is whole
    And no answer is lost
