/** The chat memory as a service: at which endpoint a chat was last served. */
import * as core from '@oleanderrock/core';
import type * as decide from '@oleanderrock/decide';

/** The contract under which the chat memory is registered. */
export const CHAT_MEMORY = core.contract<decide.ChatMemory>('chat-memory', [
  'recall',
  'remember',
  'forget',
  'removeMatching',
]);
