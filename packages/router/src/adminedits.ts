/** Edits: sets of row changes that are accepted or refused as a whole. */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as v from 'valibot';
import * as configuration from './configuration.js';
import * as resource from './resource.js';

const MAX_CHANGES = 1_000;

const editIdSchema = v.pipe(
  v.string(),
  v.check(core.isUuidV7, 'must be a UUID version 7'),
);

/** Schema of the body of an edit. */
export const editBodySchema = v.strictObject({
  operator: v.optional(core.nameSchema),
  /** Idempotency id: an edit that is resent with the same id applies once. */
  edit_id: v.optional(editIdSchema),
  /** If true, the verdict is returned without appending the edit to the log. */
  dry_run: v.optional(v.boolean(), false),
  changes: v.pipe(
    v.array(core.changeSchema),
    v.minLength(1, 'an edit needs at least one change'),
    v.maxLength(MAX_CHANGES, `an edit has at most ${MAX_CHANGES} changes`),
  ),
});

const FAILURE_KINDS = {
  conflict: 'edit_conflict',
  invalid: 'edit_invalid',
} as const satisfies Record<string, core.ErrorKind>;

/** Converts a verdict into a result; a refused edit becomes a failure. */
export function toResult(verdict: core.Verdict): core.Result<core.Verdict> {
  if (verdict.outcome === 'accepted') return core.succeed(verdict);
  return core.fail(FAILURE_KINDS[verdict.outcome], verdict.detail);
}

/** Appends an edit to the configuration log and waits for its verdict. */
export async function submit(
  kernel: core.Kernel,
  edit: Pick<core.Edit, 'edit_id' | 'operator' | 'changes'>,
): Promise<core.Result<core.Verdict>> {
  const config = kernel.find(configuration.CONFIGURATION);
  const atMs = kernel.find(core.CLOCK).wallClockMs();
  const verdict = await config.submit({type: 'edit', at_ms: atMs, ...edit});
  return verdict.ok ? toResult(verdict.value) : verdict;
}

/** Submits edits, and reports the verdict on an earlier one. */
export class EditsResource implements resource.Resource {
  constructor(private readonly kernel: core.Kernel) {}

  async handle(
    request: resource.AdminRequest,
  ): Promise<core.Result<resource.AdminReply>> {
    const [editId, ...rest] = request.segments;
    if (rest.length > 0) return resource.notFound(request);
    if (editId !== undefined) return this.findVerdict(request, editId);
    if (request.method !== 'POST') return resource.badMethod(request, 'POST');
    return this.submitBody(request);
  }

  private findVerdict(
    request: resource.AdminRequest,
    editId: string,
  ): core.Result<resource.AdminReply> {
    if (request.method !== 'GET') return resource.badMethod(request, 'GET');
    const config = this.kernel.find(configuration.CONFIGURATION);
    const verdict = config
      .verdicts()
      .find(candidate => candidate.edit_id === editId);
    if (verdict) return resource.reply(verdict);
    const detail = `no verdict on edit ${editId} among the recent edits of the log`;
    return core.fail('not_found', detail);
  }

  private async submitBody(
    request: resource.AdminRequest,
  ): Promise<core.Result<resource.AdminReply>> {
    const body = resource.parseValue(editBodySchema, request.body);
    if (!body.ok) return body;
    const operator = resource.readOperator(request);
    if (!operator.ok) return operator;
    const edit = {
      edit_id: body.value.edit_id ?? request.id,
      operator: operator.value,
      changes: body.value.changes,
    };
    const verdict = body.value.dry_run
      ? this.dryRun(edit)
      : await submit(this.kernel, edit);
    return verdict.ok ? resource.reply(verdict.value) : verdict;
  }

  private dryRun(
    edit: Pick<core.Edit, 'edit_id' | 'operator' | 'changes'>,
  ): core.Result<core.Verdict> {
    const config = this.kernel.find(configuration.CONFIGURATION);
    const atMs = this.kernel.find(core.CLOCK).wallClockMs();
    const record = {type: 'edit', at_ms: atMs, ...edit} as const;
    const editResult = decide.applyEdit(
      config.tables(),
      record,
      config.nextOffset(),
    );
    return toResult(editResult.verdict);
  }
}
