Feature: Version moves
  A good version replaces the old one by the deadline. A bad one is taken back, also while the store
  is down or after the active controller was killed.

  Scenario: A good version replaces the old one and stays after a restart
    Given a move bed of sereno with fast engines and two controllers
    When a move to a good version runs
    Then a move ended as "done"
    And a move's version serves requests of a restarted router

  Scenario: A version that fails on one route is cut
    Given a move bed of sereno with fast engines and two controllers
    When a move to a version that fails on route "draft" runs
    Then a move ended as "reverted"
    And a move's version received at most 5% of the requests before its cut
    And a move's version received no request later than 3 s after its cut

  Scenario: Routers return to the old version by themselves while the store is down
    Given a move bed of sereno with fast engines and two controllers
    When a move loses the store until its deadline has passed
    Then a move ended as "reverted"
    And a move's version received no request after the deadline

  Scenario: Another controller finishes the move of a killed one
    Given a move bed of sereno with fast engines and two controllers
    When a move loses its active controller
    Then a move ended as "done"
