/** The memory of where chats were last served, as a service. */
import * as core from '@oleanderrock/core';
import type * as decide from '@oleanderrock/decide';

/** The contract under which the chat memory is registered. */
export const MEMORY = core.contract<decide.ChatMemory>('memory', [
  'recall',
  'remember',
  'forget',
  'select',
]);
