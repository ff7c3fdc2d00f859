Feature: Answers
  A caller gets the complete answer to its own job, from any instance.

  Background:
    Given instances a1, a2 in zone a and b1 in zone b
    And backend server s1 in zone a, known to every instance

  Scenario Outline: A job gets its complete answer at any instance
    When job "job-1" with 12 tasks is submitted at <instance>
    Then its answer is complete with 12 results in task order

    Examples:
      | instance |
      | a1       |
      | a2       |
      | b1       |

  Scenario: A job with a task that fails has no results
    When job "job-1" with 3 tasks of which one fails is submitted at a2
    Then its answer is failed without results

  Scenario: A resubmission starts no task a second time
    When job "job-1" with 6 tasks is submitted at a1
    And job "job-1" with 6 tasks is submitted again at a2
    Then both answers are the same
    And each of its 6 tasks started once
