Feature: The libraries of the deployed gateway are those that its build installs

  Guards against a gateway that ends at each start on a machine that starts clean,
  because it imports a library that deploy/requirements.txt doesn't list.

  Scenario: The gateway starts with no other libraries than those of the build
    Given a store with the usual configuration
    And the servers "s-1" are listed
    When the gateway of the deploy file is started where only its libraries are installed
    Then it becomes ready and answers a request with 200

  Scenario: The build installs each library that the gateway imports later
    Then "deploy/requirements.txt" lists the libraries that "zinniaramp.daemon.gateway" imports

  Scenario: The deployed gateway has the libraries that were tested
    Then "requirements.lock" has the versions of "deploy/requirements.txt"

  Scenario Outline: Libraries that <directory> imports are declared and pinned
    Then the libraries that "<directory>" imports are declared and pinned

    Examples:
      | directory  |
      | zinniaramp |
      | scripts    |
      | features   |
