/** Comparison of secrets. */
import * as nodeCrypto from 'node:crypto';

/** Whether two secrets are equal, in a time that does not tell where not. */
export function equalSecrets(left: string, right: string): boolean {
  const digest = (text: string) =>
    nodeCrypto.createHash('sha256').update(text).digest();
  return nodeCrypto.timingSafeEqual(digest(left), digest(right));
}
