Feature: Malformed responses affect one call, not the process

  Scenario Outline: A malformed HTTP response counts as a lost response
    Given a peer that answers "<response>"
    When it is called
    Then the call fails as "may-have-run"

    Examples:
      | response                                              |
      | NONSENSE\r\n\r\n                                      |
      | HTTP/1.1 200 OK\r\nno colon\r\n\r\n                   |
      | HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n          |
      | HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort     |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-5\r\n |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxy\r\n |

  Scenario: A malformed refusal of the worker leaves the start unanswered
    # The run would otherwise keep a pending call and never start or end.
    Given a peer that answers "HTTP/1.1 409 Conflict\r\nContent-Length: 4\r\n\r\n[1,2"
    When it is ordered to start a run as a worker
    Then the result of the start is "unanswered"

  Scenario Outline: A log service that names no earliest offset is unavailable
    # The error ended the task that follows the log.
    Given a peer that answers "HTTP/1.1 410 Gone\r\nContent-Length: 4\r\n\r\n<body>"
    When it is read as a log service
    Then the log is unavailable

    Examples:
      | body   |
      | none   |
      | -100   |
      | 1_00   |
      | 12.5   |

  Scenario: A value that is not base64 affects one record
    Given a store whose newest records are "a:YQ==" and "b:Yg=" and "c:Yw=="
    When its newest records are read
    Then the records "a:a" and "b:" and "c:c" are returned

  Scenario: A truncated last record is not taken as complete
    Given a store whose read returns a record and the first half of another
    When it is read from offset 7
    Then one record is returned and the next offset is 8

  Scenario: A response that is cut off in its first record is an error
    # Without one it would be read again at once.
    Given a store whose read returns the first half of a record
    When it is read from offset 7
    Then the read fails as cut off

  Scenario: The config is followed past a malformed record
    Given a store whose newest records are "config:Yg=" and "b:Yg=="
    When the operator's topic is followed for 1 s
    Then the store was read again and the feed is running

  Scenario Outline: A check-in without a usable capacity is rejected
    # The capacity of the check-in before it holds.
    Given a check-in server of a VM
    When a check-in arrives whose "Capacity" is <capacity>
    Then it is rejected with status 400

    Examples:
      | capacity                                |
      | missing                                 |
      | null                                    |
      | [1000, 64, 0]                           |
      | {"Cpu": "1000", "MemMb": 64, "Gpu": 0}  |
      | {"Cpu": 1000.5, "MemMb": 64, "Gpu": 0}  |
      | {"Cpu": 1000, "MemMb": -1, "Gpu": 0}    |
      | {"Cpu": 1000, "MemMb": 64, "Gpu": null} |

  Scenario Outline: A check-in that names no lifetime is rejected
    # Taken as born at 0 it would be the instance of all such check-ins.
    Given a check-in server of a VM
    When a check-in arrives whose "born" is <born>
    Then it is rejected with status 400

    Examples:
      | born            |
      | missing         |
      | 0               |
      | -1796383902006  |
      | null            |
      | "1796383902006" |
      | 1796383902006.5 |

  Scenario: A check-in that names its lifetime is accepted
    Given a check-in server of a VM
    When a check-in arrives whose "born" is 1796383902006
    Then it is accepted

  Scenario Outline: A check-in with a value that can't be used is rejected
    # The agent ended itself when it reported such a number to the leader.
    Given a check-in server of a VM
    When a check-in arrives whose "<field>" is <value>
    Then it is rejected with status 400

    Examples:
      | field    | value                       |
      | born     | 99999999999999999999        |
      | Seq      | 99999999999999999999        |
      | Seq      | -1                          |
      | ClockMs  | 99999999999999999999        |
      | ClockMs  | -1                          |
      | Capacity | {"Cpu":99999999999999999999} |
      | Capacity | {"MemMb":99999999999999}    |
      | Capacity | {"Gpu":-1}                  |
      | Address  | ""                          |
      | Address  | "10.0.0.1"                  |
      | Address  | "10.0.0.1:http"             |
      | Service  | ""                          |
      | RemainingMs | 99999999999999999999     |

  Scenario Outline: A check-in with an address that can't be one is rejected
    # The agent called it at once: "127.0..1" ended its process, and a port out
    # of range was taken for the address of its worker.
    Given a check-in server of a VM
    When a check-in arrives whose "Address" is <value>
    Then it is rejected with status 400
    And the reason names "Address", the value and what was expected

    Examples:
      | value                |
      | "127.0..1:8080"      |
      | "127.0.0.1:0"        |
      | "127.0.0.1:65536"    |
      | "127.0.0.1:70000"    |
      | "127.0.0.1:99999"    |
      | "127.0.0.1:8080²"    |
      | "127.0.0.1:+80"      |
      | "127.0.0.1:-1"       |
      | "127.1:8080"         |
      | "0.0.0.0:8080"       |
      | "224.0.0.1:8080"     |
      | "127.0.0.01:8080"    |
      | "[::1]:8080"         |
      | "worker:8080"        |
      | "127.0.0.1\u0000:80" |
      | " 127.0.0.1:8080"    |

  Scenario Outline: A check-in of a long or unprintable <part> is rejected
    Given a check-in server of a VM
    When a check-in arrives with <part>
    Then it is rejected with status 400

    Examples:
      | part                     |
      | a host label of 70 bytes |
      | a service of 300 bytes   |
      | a label of 300 bytes     |
      | 65 labels                |
      | an id of 300 bytes       |
      | an id with a slash       |
      | an id with a wide letter |
      | a service with a NUL     |

  Scenario: A check-in that the agent fails on is answered
    # The exception was lost in the server and the worker got no answer.
    Given a check-in server whose agent fails
    When a check-in arrives
    Then it is answered with status 500

  Scenario Outline: A call to an address that can't be one is not sent
    # Name resolution raises other errors than a failed connect, which ended
    # the agent.
    When "<address>" is called
    Then the call fails as "not-run"

    Examples:
      | address                |
      | 127.0..1:8080          |
      | 127.0.0.1:70000        |
      | 127.0.0.1:99999        |
      | 127.0.0.1:0            |
      | 127.0.0.1\0:80        |

  Scenario: A header that can't be sent fails the call
    Given a peer that answers "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    When it is called with a header of wide letters
    Then the call fails as "not-run"
