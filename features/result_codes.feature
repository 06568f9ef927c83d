Feature: Result codes
  Scenario: A refusal that did not run tells the caller so
    Given the result code QUEUE_FULL
    Then its class is "not_run"
