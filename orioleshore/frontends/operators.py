"""HTTP front end for operators: JSON API and web console."""

import html
from typing import Any
import uuid

from aiohttp import web
import msgspec
from result import Err
from result import Result
import yaml

from orioleshore.consensus import client
from orioleshore.frontends import access
from orioleshore.frontends import forms
from orioleshore.frontends import group_changes
from orioleshore.frontends import submission
from orioleshore.frontends import web as frontend_web
from orioleshore.model import changes
from orioleshore.model import decoding
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import numbers
from orioleshore.state import operations
from orioleshore.state import queries
from orioleshore.tasks import mailbox
from orioleshore.telemetry import collection
from orioleshore.telemetry import dumps
from orioleshore.timers import clock

MAX_DOCUMENT_BYTES = 16 * 1_048_576
CHANGE_TIMEOUT_S = 10.0
QUERY_TIMEOUT_S = 5.0


class OperatorsFrontend(frontend_web.ListeningTask):
    """Owns the connections of operators."""

    def __init__(
        self,
        address: str,
        token_files: dict[str, str],
        control: mailbox.Mailbox,
        source: clock.Clock,
        dumper: dumps.Dumper,
        collector: collection.Collector,
    ) -> None:
        super().__init__('operators')
        self._authenticator = access.Authenticator(token_files)
        self._control = control
        self._clock = source
        self._dumper = dumper
        self._collector = collector
        app = web.Application(
            client_max_size=MAX_DOCUMENT_BYTES,
            middlewares=[self._authenticate],
        )
        app.on_response_prepare.append(frontend_web.remove_server_header)
        app.add_routes(
            [
                web.get('/v1/document', self._get_document),
                web.post('/v1/document', self._change_document),
                web.post('/v1/document/validate', self._validate_document),
                web.get('/v1/status', self._get_status),
                web.get('/v1/members', self._get_members),
                web.post('/v1/members', self._change_members),
                web.get('/v1/explain/{kind}/{name}', self._explain_subject),
                web.get('/v1/dump', self._show_dump),
                web.get('/metrics', self._show_metrics),
                web.get('/v1/state', self._get_state),
                web.get('/', self._show_console),
                web.get('/edit/{section}', self._show_form),
                web.post('/edit/{section}', self._handle_form),
            ]
        )
        self.configure_listener(address, app)

    @web.middleware
    async def _authenticate(
        self, request: web.Request, handler
    ) -> web.StreamResponse:
        operator = self._authenticator.find_operator(request)
        if operator is None:
            response = frontend_web.make_failure(
                errors.Failure(
                    errors.ErrorKind.UNAUTHORIZED,
                    'send the token of an operator',
                )
            )
            response.headers['WWW-Authenticate'] = 'Basic realm="operators"'
            return response
        request[access.OPERATOR_KEY] = operator
        return await handler(request)

    # JSON API.

    async def _get_document(self, request: web.Request) -> web.Response:
        return await self._answer_query(queries.GetDocument())

    async def _get_status(self, request: web.Request) -> web.Response:
        return await self._answer_query(queries.GetStatus())

    async def _get_members(self, request: web.Request) -> web.Response:
        answer = await client.call(
            self._control, queries.GetStatus(), QUERY_TIMEOUT_S
        )
        if answer.is_err():
            return frontend_web.make_failure(answer.unwrap_err())
        return frontend_web.make_json(
            decoding.decode_plain_json(answer.unwrap())['group']
        )

    async def _change_members(self, request: web.Request) -> web.Response:
        change = group_changes.parse_change(await request.text())
        if change.is_err():
            return frontend_web.make_failure(change.unwrap_err())
        answer = await client.call(
            self._control, change.unwrap(), CHANGE_TIMEOUT_S
        )
        if answer.is_err():
            return frontend_web.make_failure(answer.unwrap_err())
        return frontend_web.make_json({'accepted': True})

    async def _get_state(self, request: web.Request) -> web.Response:
        return await self._answer_query(queries.GetDump())

    async def _show_dump(self, request: web.Request) -> web.Response:
        return frontend_web.make_json(await self._dumper.get_dump())

    async def _show_metrics(self, request: web.Request) -> web.Response:
        return frontend_web.make_metrics(await self._collector.collect())

    async def _explain_subject(self, request: web.Request) -> web.Response:
        try:
            kind = queries.SubjectKind(request.match_info['kind'])
        except ValueError:
            known = ', '.join(kind.value for kind in queries.SubjectKind)
            return frontend_web.make_failure(
                errors.Failure(
                    errors.ErrorKind.NOT_FOUND,
                    f'unknown kind of subject, expected one of: {known}',
                )
            )
        return await self._answer_query(
            queries.Explain(kind, request.match_info['name'])
        )

    async def _answer_query(self, query: queries.Query) -> web.Response:
        answer = await client.call(self._control, query, QUERY_TIMEOUT_S)
        if answer.is_err():
            return frontend_web.make_failure(answer.unwrap_err())
        return frontend_web.make_json(
            decoding.decode_plain_json(answer.unwrap())
        )

    async def _validate_document(self, request: web.Request) -> web.Response:
        outcome = submission.parse_text(await request.text()).and_then(
            submission.check_request
        )
        if outcome.is_err():
            return frontend_web.make_failure(outcome.unwrap_err())
        return frontend_web.make_json({'valid': True})

    async def _change_document(self, request: web.Request) -> web.Response:
        outcome = submission.parse_text(await request.text()).and_then(
            submission.check_request
        )
        if outcome.is_err():
            return frontend_web.make_failure(outcome.unwrap_err())
        version = await self._submit_change(
            outcome.unwrap(), request[access.OPERATOR_KEY]
        )
        if version.is_err():
            return frontend_web.make_failure(version.unwrap_err())
        return frontend_web.make_json({'version': version.unwrap()})

    async def _submit_change(
        self, change: Any, operator: str
    ) -> Result[ids.Version, errors.Failure]:
        """Commit a change; the leader checks the base version again."""
        answer = await client.call(
            self._control, queries.GetDocument(), QUERY_TIMEOUT_S
        )
        if answer.is_err():
            return answer
        version, current = submission.read_document(answer.unwrap())
        if change.base_version > version:
            # The edits would be computed against a document older than the
            # one that the operator changed.
            return Err(
                errors.Failure(
                    errors.ErrorKind.VERSION_CONFLICT,
                    f'version {change.base_version} does not exist yet, '
                    f'version {version} is in force',
                )
            )
        command = submission.make_command(
            change, current, operator, self._clock.get_wall()
        )
        return await client.call(self._control, command, CHANGE_TIMEOUT_S)

    # Web console.

    async def _show_console(self, request: web.Request) -> web.Response:
        answer = await client.call(
            self._control, queries.GetStatus(), QUERY_TIMEOUT_S
        )
        if answer.is_err():
            return _make_page(
                'orioleshore', forms.render_failure(answer.unwrap_err())
            )
        status = decoding.decode_plain_json(answer.unwrap())
        links = ' | '.join(
            f'<a href="/edit/{section.value}">{section.value}</a>'
            for section in changes.Section
        )
        text = yaml.safe_dump(status, sort_keys=False)
        return _make_page(
            'orioleshore',
            f'<p>Edit: {links}</p><pre>{html.escape(text)}</pre>',
        )

    async def _show_form(self, request: web.Request) -> web.Response:
        section = _find_section(request)
        if section is None:
            return _make_page('Not found', '<p>No such section.</p>', 404)
        answer = await client.call(
            self._control, queries.GetDocument(), QUERY_TIMEOUT_S
        )
        if answer.is_err():
            return _make_page(
                section.value, forms.render_failure(answer.unwrap_err())
            )
        version, document = submission.read_document(answer.unwrap())
        items = changes.get_items(document, section)
        item = items.get(request.query.get('name', ''))
        if section is changes.Section.POLICY:
            item = document.policy
        hidden = self._get_hidden_fields(request, version)
        links = ''.join(
            f'<li><a href="?name={html.escape(name)}">{html.escape(name)}'
            '</a></li>'
            for name in items
        )
        return _make_page(
            f'{section.value}, version {version}',
            f'<p><a href="/">Status</a></p><ul>{links}</ul>'
            + forms.render_form(section, item, hidden),
        )

    def _get_hidden_fields(
        self, request: web.Request, version: ids.Version
    ) -> dict[str, str]:
        operator = request[access.OPERATOR_KEY]
        operation = operations.generate_operation_id(
            self._clock.get_wall(), uuid.uuid4().hex
        )
        return {
            'base_version': str(version),
            'operation_id': operation,
            'form_token': self._authenticator.get_form_token(operator),
        }

    async def _handle_form(self, request: web.Request) -> web.Response:
        section = _find_section(request)
        if section is None:
            return _make_page('Not found', '<p>No such section.</p>', 404)
        form = {
            name: str(value) for name, value in (await request.post()).items()
        }
        operator = request[access.OPERATOR_KEY]
        if not self._authenticator.is_form_token_valid(
            operator, form.get('form_token', '')
        ):
            failure = errors.Failure(
                errors.ErrorKind.FORBIDDEN,
                'the token of this form is not valid; open the form again',
            )
            return _make_failure_page(failure)
        outcome = await self._submit_form(section, form, operator)
        if outcome.is_err():
            return _make_failure_page(outcome.unwrap_err())
        return _make_page(
            'Accepted',
            f'<p>Version {outcome.unwrap()} is accepted.</p>'
            f'<p><a href="/edit/{section.value}">Back</a></p>',
        )

    async def _submit_form(
        self, section: changes.Section, form: dict[str, str], operator: str
    ) -> Result[ids.Version, errors.Failure]:
        answer = await client.call(
            self._control, queries.GetDocument(), QUERY_TIMEOUT_S
        )
        if answer.is_err():
            return answer
        _, document = submission.read_document(answer.unwrap())
        edited = submission.edit_document(document, section, form)
        if edited.is_err():
            return edited
        content = {
            'base_version': _parse_number(form.get('base_version', '')),
            'operation_id': form.get('operation_id', ''),
            'document': msgspec.to_builtins(edited.unwrap()),
        }
        change = submission.check_request(content)
        if change.is_err():
            return change
        return await self._submit_change(change.unwrap(), operator)


def _find_section(request: web.Request) -> changes.Section | None:
    for section in changes.Section:
        if section.value == request.match_info['section']:
            return section
    return None


def _parse_number(text: str) -> int | str:
    number = numbers.parse_count(text)
    return text if number is None else number


def _make_failure_page(failure: errors.Failure) -> web.Response:
    return _make_page(
        'Refused', forms.render_failure(failure), failure.answer.status
    )


def _make_page(title: str, body: str, status: int = 200) -> web.Response:
    return web.Response(
        text=forms.render_page(title, body),
        status=status,
        content_type='text/html',
        headers={
            'Content-Security-Policy': (
                "default-src 'none'; style-src 'unsafe-inline'; "
                "form-action 'self'"
            ),
            'X-Content-Type-Options': 'nosniff',
        },
    )
