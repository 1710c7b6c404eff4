Feature: Traffic between data centres

  Scenario Outline: In calm plain requests stay in their data centre
    Given the load "plain, calm" at <gateways> gateways
    When it is played with the flat cost and with the model of locality
    Then with the model at most 1 in 100 requests leave
    And with the model no fewer requests are on time

    Examples:
      | gateways |
      | 1        |
      | 5        |
      | 26       |

  Scenario: In calm no more bytes of prompts leave than with the flat cost
    Given the load "engines, calm" at 26 gateways
    When it is played with the flat cost and with the model of locality
    Then with the model no more bytes leave
    And with the model no fewer requests are on time

  Scenario Outline: In a shortage callers get no less than with the flat cost
    Given the load "<load>" at 26 gateways
    When it is played with the flat cost and with the model of locality
    Then with the model no fewer requests are on time

    Examples: plain endpoints of 6 slots, one in each data centre
      | load                |
      | plain, rush         |
      | plain, swing        |
      | plain, dark         |
      | plain, none at home |
      | plain, lossy rush   |

    Examples: engines, 8 in each data centre
      | load                  |
      | engines, swing        |
      | engines, none at home |

  Scenario Outline: The share that leaves in a shortage doesn't oscillate
    Given the load "<load>" at <gateways> gateways
    When it is played with the flat cost and with the model of locality
    Then in no half second of the rush all or none of the first data centre's requests leave

    Examples: each gateway knows only its own requests
      | load        | gateways |
      | plain, rush | 1        |
      | plain, rush | 5        |
      | plain, rush | 26       |

    Examples: load events are 100 ms old
      | load          | gateways |
      | engines, rush | 5        |
      | engines, rush | 26       |

  Scenario: A data centre whose endpoint comes back gets its requests again
    Given the load "plain, dark" at 26 gateways
    When it is played with the flat cost and with the model of locality
    Then with the model requests leave while it is dark, and 3 s later 1 in 100 at most

  Scenario: A small request leaves where a large one stays
    Given a home engine with a wait of 60 ms and an idle one elsewhere
    Then under full pressure a request of 1000 bytes leaves and one of 40000 bytes stays

  Scenario: A path on which connections fail costs more until it is forgotten
    Given paths to two data centres, of which one loses every tenth connection
    Then that path costs more than the other
    And a minute later it costs less than 1 ms more

  Scenario: The beginning and the end of a spill are logged
    Given a home engine with a wait of 60 ms and an idle one elsewhere
    When requests are placed there under pressure, and then in calm
    Then the events spill-began and spill-ended are logged once each

  Scenario Outline: The operator sets the price of a byte
    Given a process's settings file <with>
    Then its price of 1000 bytes is <price>

    Examples:
      | with                                   | price   |
      | without a table locality               | 2.4     |
      | with the locality transfer_ms_per_kb 0 | 0.0     |
      | with the locality transfer_ms_per_kb 9 | 9.0     |
      | with the locality transfer_ms_per_kb -1 | refused |
