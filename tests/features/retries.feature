Feature: Retries are bounded over the whole call chain

  Background:
    Given a chain of 5 services whose backend servers resend each failed call once

  Scenario Outline: Every hop resends and the deepest backend server always fails
    When a caller sends a request with <retries> retries <times> times
    Then the deepest backend server ran each request at most <bound> times
    And no other backend server ran a request more often
    And every answer says that the request ran

    Examples:
      | retries | times | bound |
      | 0       | 3     | 1     |
      | 1       | 3     | 2     |
      | 3       | 1     | 4     |

  Scenario: A chain header sent by a caller grants no retries
    When a caller sends a request with 3 retries and its own chain header
    Then the deepest backend server ran each request at most 1 times

  Scenario: A backend server that announces itself ready and fails gets few calls
    Given a second backend server of the deepest service
    When the second backend server answers every call with 500
    And a caller sends 200 requests to the deepest service
    Then the second backend server received fewer than 20 of them
