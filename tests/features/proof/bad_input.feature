Feature: Bad input gets a clear error and harms nobody

  Scenario Outline: hostile <input> leave all members at work
    When <count> hostile <input> are fed

    Examples:
      | input            | count |
      | control messages | 400   |
      | session frames   | 400   |
      | answers of an agent | 6  |
      | log records      | 300   |
      | operators' calls | 100   |
      | byte streams     | 500   |
      | settings texts   | 500   |

  Scenario: hostile HTTP heads leave entry and agent at work
    Given the deployment caribfert with 1 VMs and 1 entries
    When 300 hostile heads are sent to all HTTP ports
