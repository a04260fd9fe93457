Feature: Invalid input is rejected and all members keep serving

  Scenario Outline: members keep serving after hostile <input>
    When <count> hostile <input> are fed

    Examples:
      | input            | count |
      | control messages | 400   |
      | session frames   | 400   |
      | agent responses  | 6     |
      | log records      | 300   |
      | operator calls   | 100   |
      | byte streams     | 500   |
      | settings texts   | 500   |

  Scenario: entry and agent keep serving after hostile HTTP heads
    Given the deployment caribfert with 1 VMs and 1 entries
    When 300 hostile heads are sent to all HTTP ports

  Scenario Outline: deeply nested values in <site> are rejected
    # Decoders raise RecursionError, which is no DecodeError: entries and
    # agents ended, or followed nothing more.
    When <site> with deeply nested values are decoded
    Then only errors of their own are raised

    Examples:
      | site                |
      | submissions         |
      | check-ins           |
      | worker lists        |
      | worker answers      |
      | store answers       |
      | store conflicts     |
      | store pages         |
      | advice              |
      | config records      |
      | node settings       |
      | tables files        |
      | saved logs          |
      | operator calls      |
      | entry responses     |
      | console values      |
      | stored submissions  |
      | stored states       |
      | stored leaderships  |
      | stored members      |
      | log records         |
      | log pages           |
      | frames              |
      | reports             |
      | orders              |
      | snapshot slices     |
      | snapshot items      |
      | usage samples       |

  Scenario Outline: text that only looks like a number in <place> is rejected
    # str.isdigit() is true for more than int() reads, and int() refuses texts
    # of over 4,300 digits: a report with such a task id was dropped whole, and
    # a stored key ended each entry that read it.
    When <place> has digits that are no number
    Then only errors of their own are raised

    Examples:
      | place                  |
      | the id of a task       |
      | the key of a state     |
      | a deadline             |
      | the id of an entry     |
      | the length of a body   |
      | the address of a peer  |
      | a saved table version  |

  Scenario Outline: <site> with one odd value harm nothing
    # Each value takes each place of a sound message: a number beyond 64 bits
    # in a worker's lists ended its agent, and a checkpoint that is no text made
    # the leader drop the whole report.
    When <site> with odd values are decoded
    Then only errors of their own are raised

    Examples:
      | site                |
      | submissions         |
      | check-ins           |
      | worker lists        |
      | worker answers      |
      | store answers       |
      | store conflicts     |
      | store pages         |
      | advice              |
      | config records      |
      | node settings       |
      | tables files        |
      | saved logs          |
      | operator calls      |
      | entry responses     |
      | console values      |
      | stored submissions  |
      | stored states       |
      | stored leaderships  |
      | stored members      |
      | log records         |
      | log pages           |
      | frames              |
      | reports             |
      | orders              |
      | snapshot slices     |
      | snapshot items      |
      | usage samples       |
