/** Detects when a streamed body ends, fails or is cancelled by its reader. */

/** Forwards a stream and calls `onEnd` once when it is over. */
export const watchEnd = (
	body: ReadableStream<Uint8Array>,
	onEnd: () => void,
): ReadableStream<Uint8Array> => {
	const reader = body.getReader();
	let hasEnded = false;
	const end = () => {
		if (!hasEnded) {
			hasEnded = true;
			onEnd();
		}
	};

	return new ReadableStream<Uint8Array>({
		async pull(controller) {
			try {
				const {done, value} = await reader.read();
				if (done) {
					end();
					controller.close();
				} else {
					controller.enqueue(value);
				}
			} catch (err) {
				end();
				controller.error(err);
			}
		},
		async cancel(reason) {
			end();
			await reader.cancel(reason);
		},
	});
};
