/** Edits: several changes that are accepted together, or not at all. */
import * as core from '@oleanderrock/core';
import * as decide from '@oleanderrock/decide';
import * as v from 'valibot';
import * as configuration from './configuration.js';
import * as resource from './resource.js';

const MAX_CHANGES = 1_000;

const editIdSchema = v.pipe(
  v.string(),
  v.check(core.isTimed, 'must be a UUID version 7'),
);

/** Schema of the body of an edit. */
export const editBodySchema = v.strictObject({
  operator: v.optional(core.nameSchema),
  /** Given by a caller that may send the edit again; it counts once. */
  edit_id: v.optional(editIdSchema),
  /** True: tells the verdict and appends nothing. */
  dry_run: v.optional(v.boolean(), false),
  changes: v.pipe(
    v.array(core.changeSchema),
    v.minLength(1, 'an edit needs a change'),
    v.maxLength(MAX_CHANGES, `an edit has at most ${MAX_CHANGES} changes`),
  ),
});

const KINDS = {
  conflict: 'edit_conflict',
  invalid: 'edit_invalid',
} as const satisfies Record<string, core.Kind>;

/** An accepted verdict, or the failure that a refused one is. */
export function settle(verdict: core.Verdict): core.Result<core.Verdict> {
  if (verdict.outcome === 'accepted') return core.succeed(verdict);
  return core.fail(KINDS[verdict.outcome], verdict.detail);
}

/** Appends an edit and waits for its verdict. */
export async function submit(
  kernel: core.Kernel,
  edit: Pick<core.Edit, 'edit_id' | 'operator' | 'changes'>,
): Promise<core.Result<core.Verdict>> {
  const config = kernel.find(configuration.CONFIGURATION);
  const atMs = kernel.find(core.CLOCK).wallMs();
  const verdict = await config.submit({type: 'edit', at_ms: atMs, ...edit});
  return verdict.ok ? settle(verdict.value) : verdict;
}

/** Takes edits, and tells what became of one. */
export class EditsResource implements resource.Resource {
  constructor(private readonly kernel: core.Kernel) {}

  async answer(ask: resource.Ask): Promise<core.Result<resource.Reply>> {
    const [editId, ...rest] = ask.path;
    if (rest.length > 0) return resource.missing(ask);
    if (editId !== undefined) return this.find(ask, editId);
    if (ask.method !== 'POST') return resource.wrongMethod(ask, 'POST');
    return this.take(ask);
  }

  private find(ask: resource.Ask, editId: string): core.Result<resource.Reply> {
    if (ask.method !== 'GET') return resource.wrongMethod(ask, 'GET');
    const config = this.kernel.find(configuration.CONFIGURATION);
    const verdict = config
      .verdicts()
      .find(candidate => candidate.edit_id === editId);
    if (verdict) return resource.reply(verdict);
    const detail = `edit ${editId} is not among those read from the log`;
    return core.fail('not_found', detail);
  }

  private async take(ask: resource.Ask): Promise<core.Result<resource.Reply>> {
    const body = resource.read(editBodySchema, ask.body);
    if (!body.ok) return body;
    const operator = resource.readOperator(ask);
    if (!operator.ok) return operator;
    const edit = {
      edit_id: body.value.edit_id ?? ask.id,
      operator: operator.value,
      changes: body.value.changes,
    };
    const verdict = body.value.dry_run
      ? this.judge(edit)
      : await submit(this.kernel, edit);
    return verdict.ok ? resource.reply(verdict.value) : verdict;
  }

  private judge(
    edit: Pick<core.Edit, 'edit_id' | 'operator' | 'changes'>,
  ): core.Result<core.Verdict> {
    const config = this.kernel.find(configuration.CONFIGURATION);
    const atMs = this.kernel.find(core.CLOCK).wallMs();
    const whole = {type: 'edit', at_ms: atMs, ...edit} as const;
    const judgement = decide.judge(config.tables(), whole, config.nextOffset());
    return settle(judgement.verdict);
  }
}
