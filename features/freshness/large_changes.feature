Feature: Large configurations arrive over narrow links
  Simulated gateways with their real mesh, in virtual time.  The links of the narrow
  gateways have 5 Mbit/s, those of the wide ones 100 Mbit/s.  A large configuration has
  1,700 routes; the entry of an endpoint changes each 0.5 s.

  Scenario Outline: A large configuration is in force after one copy: <what>
    Given <gateways> gateways of which <wide> have wide links
    And large configurations at seconds <large>
    When the links are played with <seeds> seeds
    Then every gateway has each configuration within 0.5 s after the time of one copy
    And every gateway receives each configuration once

    Examples:
      | what                  | gateways | wide | large        | seeds |
      | one narrow gateway    | 1        | 0    | 8, 10        | 4     |
      | two wide, seven not   | 9        | 2    | 8, 10        | 4     |
      | all narrow            | 9        | 0    | 8, 11.5, 15  | 4     |
      | three in a row        | 26       | 6    | 8, 11.5, 15  | 1     |

  Scenario Outline: Endpoints that leave during a large configuration are known in their usual time: <what>
    Given <gateways> gateways of which <wide> have wide links
    And large configurations at seconds <large>
    When the links are played with <seeds> seeds
    Then every gateway has each entry within 0.5 s

    Examples:
      | what                  | gateways | wide | large        | seeds |
      | one narrow gateway    | 1        | 0    | 8, 10        | 4     |
      | two wide, seven not   | 9        | 2    | 8, 10        | 4     |
      | all narrow            | 9        | 0    | 8, 11.5, 15  | 4     |
      | three in a row        | 26       | 6    | 8, 11.5, 15  | 1     |

  Scenario Outline: Endpoints that leave while all items are read are known in their usual time: <what>
    Given <gateways> gateways of which 0 have wide links
    And the last bytes of large answers to watches are lost
    And large configurations at seconds 8, 11.5
    When the links are played with 4 seeds
    Then every gateway has each entry within 0.5 s

    Examples:
      | what               | gateways |
      | one narrow gateway | 1        |
      | all narrow         | 9        |

  Scenario Outline: A read barrier doesn't wait for a large configuration: <what>
    Given <gateways> gateways of which <wide> have wide links
    And large configurations at seconds 8, 11.5
    And each gateway waits for the read barrier each 0.1 s from second 7.5 to 13
    When the links are played with 4 seeds
    Then every wait ends with all endpoints known

    Examples:
      | what                  | gateways | wide |
      | one narrow gateway    | 1        | 0    |
      | two wide, seven not   | 9        | 2    |
      | all narrow            | 9        | 0    |

  Scenario: Gateways that are cut off from the store get a large configuration once
    Given 9 gateways of which 2 have wide links
    And 3 of them are cut off from the store
    And large configurations at seconds 8, 10
    When the links are played with 4 seeds
    Then every gateway receives each configuration once
    And every gateway has each configuration within 1 s after the time of one copy
