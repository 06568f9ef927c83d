@fleet_with_two_controllers
Feature: Operators change the configuration and controllers take over from each other

  # Guards against a change that is overwritten by another operator's change without notice.
  Scenario: Two operators apply changes at the same time
    Given configuration files that match the configuration in force
    When two operators apply different shares on top of the same revision at the same time
    Then one change is accepted and the other one ends with exit code 3
    And the configuration shows the accepted change only
    When the refused operator applies both changes on top of the newer revision
    Then the configuration shows both changes
    And the history lists both revisions with operator and action
    And the revision before them can still be shown
    And both changes are in force on every router

  # Guards against a check that stops at the first error.
  Scenario: A check names every error of the files
    Given configuration files with four errors
    When an operator checks them
    Then the command ends with exit code 1 and names every error

  # Guards against operators without a controller after the active one has died.
  Scenario: The active controller is killed
    When the active controller is killed
    And an operator drains "fd-c" and waits until that is in force
    Then another controller is active with a higher fencing number
    When an operator returns "fd-c" and waits until that is in force
    Then the killed controller is started again

  # Guards against two active controllers and against orders of one that has lost its lease.
  Scenario: The active controller is paused beyond its lease during a move
    Given a move of the engines to targets that do not load the version
    And the active controller has sent orders
    When the active controller is paused
    Then another controller becomes active within 15 seconds and sends orders
    When the paused controller is continued
    Then it never answers as active and names the active one
    And it sends no order
