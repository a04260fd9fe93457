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
