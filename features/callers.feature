@fleet_with_short_queues
Feature: Callers receive the whole answer to their own request

  # Guards against answers that are cut short, mixed up or lost when a target's streams are faulty.
  Scenario: Engines cut, silence, duplicate and reorder their streams
    Given engines that cut, silence, duplicate and reorder their streams
    And 32 callers with seed 41 that send requests of "draft, question"
    And 100 answers have arrived
    When 4 seconds pass
    And the callers have received their last answers
    Then every answer is whole
    And no answer is lost
    And at least 150 answers are whole

  # Guards against answers lost in the rush, against refusals without a time to try again and against
  # small workspaces that wait behind large ones.
  @known_red
  Scenario: All callers reconnect within one second after a power cut
    Given 400 callers with seed 42 that reconnect within one second after a power cut
    When 10 seconds pass
    And the callers have received their last answers
    Then callers found the queue of their workspace full
    And every answer is whole or was refused with a time to try again
    And no answer is lost
    And at least 400 answers are whole
    And every workspace received whole answers in the first 10 seconds
    And no operation that may not be repeated ran twice
    And nothing that was refused as not run has run

  # Guards against malformed input that crashes a router, ends without a numbered code or costs
  # target time.
  Scenario Outline: Bad input: <input>
    Given the targets are idle
    When a caller sends <input>
    Then it is refused with HTTP status <status> and code <code> of class "not_run"
    And no target has run anything

    Examples:
      | input                  | status | code             |
      | malformed JSON         | 400    | BAD_REQUEST      |
      | a list as body         | 400    | BAD_REQUEST      |
      | an oversized body      | 413    | BODY_TOO_LARGE   |
      | an unknown service     | 404    | UNKNOWN_SERVICE  |
      | an unknown route       | 404    | UNKNOWN_ROUTE    |
      | an impossible deadline | 400    | BAD_DEADLINE     |
      | a negative hint        | 400    | BAD_HINT         |
      | a wrong key            | 401    | UNAUTHENTICATED  |
      | a forged resume token  | 403    | TOKEN_INVALID    |
