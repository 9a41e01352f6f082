/** Constant-time comparison of secrets. */
import * as nodeCrypto from 'node:crypto';

/**
 * Whether two secrets are equal. Compares in constant time, so that a secret
 * cannot be guessed from response times.
 */
export function areSecretsEqual(left: string, right: string): boolean {
  const sha256 = (text: string) =>
    nodeCrypto.createHash('sha256').update(text).digest();
  return nodeCrypto.timingSafeEqual(sha256(left), sha256(right));
}
