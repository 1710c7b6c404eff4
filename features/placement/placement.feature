Feature: Placement of prompts on model engines

  Scenario Outline: Entries that tell each other serve the heaviest minute on time
    Given the heaviest minute of <site>
    When it is played with entries that tell each other, that do not, and that count
    Then each play serves 95 in 100 on time with the first, more than with the others

    Examples:
      | site          |
      | kilometerwerk |
      | tsurugaya     |

  Scenario: The split follows a load that turns from long prompts to short ones and back
    When the load turns from long prompts to short ones and back
    Then the engines for short prompts grow in number, and shrink again

  Scenario: Every prompt has an engine whichever of them are lost
    When engines are lost on either side of the split, down to the last one
    Then each kind of prompt is placed on an engine that is left

  Scenario: Processes that have heard the same place alike
    When several processes hear the same sends in any order
    Then they choose the same engine for each prompt

  Scenario: A part is read again only when its holder's backlog costs more
    Given an engine that holds a part of 13300 tokens
    Then a prompt with the part goes there while its backlog is below 40000 tokens
    And elsewhere when its backlog is above 60000 tokens

  Scenario: What an engine says that it holds counts as if it had been sent there
    Given an engine that says that it holds a part of 13300 tokens
    Then a prompt with the part goes there while its backlog is below 40000 tokens

  Scenario Outline: A burst on one side of the split is taken by the other side as well
    Given the heaviest minute of <site>
    When the short prompts come in a burst of 8 times their number
    Then more are on time than if each side kept to itself

    Examples:
      | site          |
      | kilometerwerk |
      | tsurugaya     |

  Scenario: Streams of short prompts are kept from long pauses
    Given the heaviest minute of tsurugaya
    When it is played by entries that know how much may be read beside a stream, and not
    Then fewer streams pause too long with the first, and no fewer are on time

  Scenario: A long prompt is kept off an engine whose streams it would make pause
    Given an engine that holds a part of 13300 tokens
    When 2 streams beside which 2 chunks may be read run there
    Then a prompt with the part and 4000 tokens of its own goes there
    And a prompt with the part and 16000 tokens of its own goes elsewhere

  Scenario Outline: How much may be read beside a stream
    Given streams with events of <tokens> tokens and pauses of <pause> ms at most
    Then <chunks> chunks may be read in a row beside them

    Examples:
      | tokens | pause | chunks |
      | 3      | 250   | 2      |
      | 3      | 400   | any    |
      | 4      | 250   | 2      |
      | 5      | 300   | 3      |
      | 4      | 0     | any    |
      | 0      | 250   | any    |
