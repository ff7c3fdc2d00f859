Feature: Refusals
  A job that is refused with not_run has not started any task.

  Background:
    Given instances a1 in zone a and b1 in zone b
    And backend server s1 in zone a, known to every instance

  Scenario Outline: Invalid input is refused with a message that names the field
    When job "job-1" with <field> set to <value> is submitted at b1
    Then it is refused with <code> and a message about <field>
    And no task started

    Examples:
      | field | value     | code |
      | class | "unknown" | 404  |
      | class | 7         | 400  |
      | tasks | []        | 400  |
      | id    | ""        | 400  |

  Scenario: A job with more tasks than allowed is refused
    When job "job-1" with 1201 tasks is submitted at a1
    Then it is refused with 413 and a message about tasks
    And no task started
