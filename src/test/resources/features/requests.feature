Feature: Requests reach an upstream that can serve them

  Background:
    Given a deployment with two availability zones under an accepted configuration

  Scenario: A caller asks for an entry instance and gets an upstream's answer
    When a caller in zone "local-a" reads "/items/1" of "casedesk"
    Then the answer has status 200
    And the answer comes from an upstream of "casedesk"

  Scenario Outline: A refusal says why, and that the request was not run
    When a caller sends <method> "<path>" to the gateway
    Then the answer has status <status>
    And the refusal is "<reason>" and says "not-run"

    Examples:
      | method | path                       | status | reason                  |
      | GET    | /services/nothing/items    | 404    | unknown-service         |
      | POST   | /services/casedesk/refunds | 428    | idempotency-key-missing |
      | GET    | /services/archive/items    | 503    | no-upstream             |

  Scenario: A refund order that is sent again runs once and gets the first answer
    When a caller sends the refund order "k-1" with body "pay 10" through zone "local-a"
    And a caller sends the refund order "k-1" with body "pay 10" through zone "local-b"
    Then both answers have the same body
    And the refund order "k-1" ran 1 time

  Scenario: A key stands for one request only
    When a caller sends the refund order "k-2" with body "pay 10" through zone "local-a"
    And a caller sends the refund order "k-2" with body "pay 20" through zone "local-b"
    Then the refusal is "idempotency-key-reused" and says "not-run"
    And the refund order "k-2" ran 1 time
