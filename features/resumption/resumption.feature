Feature: Resumed streams are never joined of two software versions, and go on if they can
  Simulated gateways with their real mesh and registry, in virtual time; callers begin 25 streams
  a second and take up the broken ones at any gateway.  Half of six engines are v1, half v1.1.

  Scenario Outline: Resumed streams: <what>
    Given simulated engines that <lists> their cached segments
    And <what>
    When the streams are played with 1 seed
    Then no stream has events of two software versions
    And <share> of the resumed streams go on

    Examples:
      | what                                                      | lists      | share          |
      | callers' connections are cut                              | don't list | all            |
      | callers name the attempt before                           | don't list | all            |
      | three versions serve and connections are cut              | don't list | all            |
      | one version serves and connections are cut                | don't list | all            |
      | one gateway is killed at a time                           | don't list | nearly all     |
      | one of five gateways restarts again and again             | don't list | nearly all     |
      | the store is away and connections are cut                 | don't list | all            |
      | engines crash                                             | don't list | all            |
      | one version serves and all gateways are killed            | don't list | all            |
      | two versions serve and all gateways are killed            | don't list | none           |
      | two versions serve and all gateways are killed            | list       | nearly all     |
      | gateways are cut off from each other                      | list       | all            |
      | callers don't name the attempt                            | list       | all            |
      | callers name an attempt that nobody knows                 | don't list | none           |
      | an old version leaves before all are killed               | don't list | none           |
      | an old version leaves while all are killed                | don't list | none           |
      | an old version leaves while all are killed                | list       | those that can |
      | history is lost after an old version has left             | don't list | none           |
      | a restore follows an old version that has left            | don't list | none           |
      | versions go forth and back                                | don't list | those that can |
      | a gateway is cut off while a new version appears          | don't list | those that can |
      | a gateway is cut off while a new version appears          | list       | those that can |
      | a gateway stands still while a new version appears        | list       | nearly all     |
      | a gateway stands still while a new version appears        | don't list | nearly all     |
      | a new version comes and goes while a gateway stands still | list       | nearly all     |
      | a new version comes and goes while a gateway stands still | don't list | nearly all     |
      | a new version comes and goes while a gateway is cut off   | list       | those that can |
      | a new version comes and goes while a gateway is cut off   | don't list | those that can |
      | a new version comes and goes, and the history is dropped  | list       | those that can |
      | a new version comes and goes, and the history is dropped  | don't list | those that can |
