/** Measures the bytes of an HTTP exchange, including heads. */
import * as events from 'node:events';
import * as http from 'node:http';

/** Sends a GET request and returns the bytes sent and received. */
export async function measureExchange(address: string): Promise<number> {
  const request = http.get(address, {agent: false});
  const eventArguments = await events.EventEmitter.once(request, 'response');
  const response = eventArguments[0] as http.IncomingMessage;
  const {socket} = response;
  response.resume();
  await events.EventEmitter.once(response, 'end');
  return socket.bytesRead + socket.bytesWritten;
}
