Feature: The build leaves the libraries of its list, and no others

  Guards against a gateway that doesn't start although the build has succeeded: the build
  decided by the age of the directory whether to install, and so kept the libraries of an
  interrupted installation, of another list or of another machine.

  Background:
    Given a checkout whose list names "alpha==1 beta==2"

  Scenario: An interrupted installation is repeated
    Given a build that is interrupted while it installs
    When the build is run
    Then exactly the libraries "alpha==1 beta==2" are installed

  Scenario: A list with an older date is installed
    Given a build that has succeeded
    And a list that names "alpha==1 beta==2 gamma==3" and is older than the build
    When the build is run
    Then exactly the libraries "alpha==1 beta==2 gamma==3" are installed

  Scenario: A library that is listed no more is removed
    Given a build that has succeeded
    And a list that names "beta==2"
    When the build is run
    Then exactly the libraries "beta==2" are installed

  Scenario: Libraries of another Python are replaced
    Given a build that has succeeded
    And another version of Python
    When the build is run
    Then the libraries have been installed 2 times

  Scenario: A list that can't be installed leaves the libraries in place
    Given a build that has succeeded
    And a list that names "alpha==1 beta==3"
    And a build that is interrupted while it installs
    Then exactly the libraries "alpha==1 beta==2" are installed

  Scenario: Nothing is installed twice
    Given a build that has succeeded
    When the build is run
    Then the libraries have been installed 1 times
