"""Answers of the operators' interface: JSON bodies and typed refusals."""

from http import HTTPStatus
from typing import Any

from bilberry_core.error import BilberryError
from bilberry_core.http import Headers, HttpResponse
from msgspec.json import encode as encode_json
from msgspec.json import format as format_json

_JSON = ((b'content-type', b'application/json; charset=utf-8'),)
_YAML = ((b'content-type', b'application/yaml; charset=utf-8'),)


class RefusedError(BilberryError):
    """A request is refused, with a status and a stable code.

    `code`
        The cause, for scripts.
    `extra`
        Further members of the answer's `error` object.
    """

    def __init__(
        self,
        status: HTTPStatus,
        code: str,
        detail: str,
        **extra: Any,
    ) -> None:
        """Keeps what the answer will hold."""
        super().__init__(detail)
        self.status = status
        self.code = code
        self.extra = extra

    def answer(self) -> HttpResponse:
        """Returns the answer that tells the refusal."""
        described = {'code': self.code, 'detail': str(self), **self.extra}
        headers = _CHALLENGES.get(self.status, ())
        return answer_json({'error': described}, self.status, headers)


def answer_json(
    document: Any,
    status: HTTPStatus = HTTPStatus.OK,
    headers: Headers = (),
) -> HttpResponse:
    """Returns an answer with a JSON body."""
    body = format_json(encode_json(document), indent=2)
    return HttpResponse(status, (*_JSON, *headers), body + b'\n')


def answer_yaml(text: str, headers: Headers = ()) -> HttpResponse:
    """Returns an answer with a YAML body."""
    return HttpResponse(HTTPStatus.OK, (*_YAML, *headers), text.encode())


def build_etag(version: int) -> Headers:
    """Returns the entity tag of a configuration version."""
    return ((b'etag', f'"{version}"'.encode()),)


_CHALLENGES: dict[HTTPStatus, Headers] = {
    HTTPStatus.UNAUTHORIZED: ((b'www-authenticate', b'Bearer'),),
}
