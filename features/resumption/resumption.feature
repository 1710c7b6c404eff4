Feature: Resumed streams are never joined of two software versions, and go on if they can
  Simulated gateways with their real mesh and registry, in virtual time; callers begin 25 streams
  a second and take up the broken ones at any gateway.  Half of six engines are v1, half v1.1.

  Scenario Outline: Resumed streams: <what>
    Given simulated engines that <lists> their cached segments
    And <what>
    When the streams are played with <seeds> seeds
    Then no stream has events of two software versions
    And <share> of the resumed streams go on

    Examples:
      | what                                                      | lists      | share          | seeds |
      | callers' connections are cut                              | don't list | all            | 1     |
      | callers name the attempt before                           | don't list | all            | 1     |
      | three versions serve and connections are cut              | don't list | all            | 1     |
      | one version serves and connections are cut                | don't list | all            | 1     |
      | one gateway is killed at a time                           | don't list | nearly all     | 1     |
      | one of five gateways restarts again and again             | don't list | nearly all     | 1     |
      | the store is away and connections are cut                 | don't list | all            | 1     |
      | engines crash                                             | don't list | all            | 6     |
      | one version serves and all gateways are killed            | don't list | all            | 1     |
      | two versions serve and all gateways are killed            | don't list | none           | 1     |
      | two versions serve and all gateways are killed            | list       | nearly all     | 1     |
      | gateways are cut off from each other                      | list       | all            | 1     |
      | callers don't name the attempt                            | list       | all            | 1     |
      | callers name an attempt that nobody knows                 | don't list | none           | 1     |
      | an old version leaves before all are killed               | don't list | none           | 1     |
      | an old version leaves while all are killed                | don't list | none           | 1     |
      | an old version leaves while all are killed                | list       | those that can | 1     |
      | history is lost after an old version has left             | don't list | none           | 1     |
      | a restore follows an old version that has left            | don't list | none           | 1     |
      | versions go forth and back                                | don't list | those that can | 1     |
      | a gateway is cut off while a new version appears          | don't list | those that can | 1     |
      | a gateway is cut off while a new version appears          | list       | those that can | 1     |
      | a gateway stands still while a new version appears        | list       | nearly all     | 1     |
      | a gateway stands still while a new version appears        | don't list | nearly all     | 1     |
      | a new version comes and goes while a gateway stands still | list       | nearly all     | 1     |
      | a new version comes and goes while a gateway stands still | don't list | nearly all     | 1     |
      | a new version comes and goes while a gateway is cut off   | list       | those that can | 1     |
      | a new version comes and goes while a gateway is cut off   | don't list | those that can | 1     |
      | a new version comes and goes, and the history is dropped  | list       | those that can | 1     |
      | a new version comes and goes, and the history is dropped  | don't list | those that can | 1     |
