Feature: An answer states whether the request ran when a process fails during the run

  Scenario Outline: The process that runs a request ends or hangs
    Given an entry node and two servers of cue that take 400 ms
    When a caller sends <method> and the <process> that runs it is <fate>
    Then the answer has status <status>, ran <ran> and took at most 1500 ms
    And the backend servers ran it <runs> times

    Examples:
      | method | process        | fate   | status | ran     | runs |
      | POST   | node           | killed | 502    | unknown | 1    |
      | POST   | backend server | killed | 502    | unknown | 1    |
      | POST   | node           | frozen | 504    | unknown | 1    |
      | GET    | node           | killed | 200    | yes     | 2    |
      | GET    | backend server | killed | 200    | yes     | 2    |
