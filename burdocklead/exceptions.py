"""Exception hierarchy; every error carries its step and its peer."""


class BurdockleadError(Exception):
    """Base of all errors, shown to a user as one sentence.

    Attributes:
        reason: What went wrong, as a clause without a full stop.
        step: The step that failed, such as ``apply``.
        peer: The process, address or file concerned; empty if none.
    """

    def __init__(self, reason: str, *, step: str, peer: str = '') -> None:
        """Store the reason with its step and its peer."""
        super().__init__(reason)
        self.reason = reason
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        """Return the sentence shown to a user."""
        if self.peer:
            return f'{self.step}: {self.peer}: {self.reason}'
        return f'{self.step}: {self.reason}'


class SettingsError(BurdockleadError):
    """A flag or an environment variable has no valid value."""


class ConfigurationError(BurdockleadError):
    """A configuration file is invalid.

    Attributes:
        problems: Every problem found, each with its location in the file.
    """

    def __init__(
        self, problems: tuple[str, ...], *, step: str, peer: str = ''
    ) -> None:
        """Store all problems and join them to the reason."""
        super().__init__('; '.join(problems), step=step, peer=peer)
        self.problems = problems


class FileError(BurdockleadError):
    """A file named on a command line could not be read or written."""


class LinkError(BurdockleadError):
    """A link to another daemon could not be used."""


class ControlError(BurdockleadError):
    """A control replica could not be reached or refused the step."""


class UnreachableError(ControlError):
    """A process could not be reached; nothing was sent to it."""


class LostAnswerError(ControlError):
    """A request got no complete answer; it may have been carried out."""


class BadAnswerError(ControlError):
    """A process sent an invalid or unexpected answer."""


class RefusedError(ControlError):
    """A process refused the step and changed nothing."""


class QuorumError(ControlError):
    """No quorum of control replicas answered in time."""


class UnreadableValueError(ControlError):
    """A register holds a value that this release can't read."""


class StorageError(BurdockleadError):
    """A file of the data folder is unusable or could not be written."""


class SetChangeError(BurdockleadError):
    """A change of the replica set is refused."""
